import fc from 'fast-check';
import t from 'tap';
import {initHashing} from '#routing';
import {
	EndpointAdmission, suspectOwnersOf, MAX_CRASHES, SuspectRegistry, type PermissionRequest, type RunMode, type SuspectRecord,
} from '#quarantine';
import {fuzzParameters} from '#tooling';

const parameters = fuzzParameters({seed: 20_261_204, runs: 300});
const ENTRIES = 4;
const ENDPOINTS = 3;
/** Requests 0 and 1 crash every engine that runs them; the others are harmless. */
const REQUESTS = 6;
const CRASHING_REQUESTS = 2;

type Run = {readonly request: number; readonly permitId: string; readonly entry: string};
type Endpoint = {admission: EndpointAdmission; runs: Map<string, Run>};

/** Simulation of entries, which are also owners, endpoints, and callers that resend after every failure. */
class Fleet {
	now = 0;
	readonly crashes = new Map<number, number>();
	readonly #entries = new Map<string, SuspectRegistry>();
	readonly #endpoints: Endpoint[] = Array.from({length: ENDPOINTS}, () => ({admission: EndpointAdmission.create(), runs: new Map<string, Run>()}));
	#next = 0;
	#crashNumber = 0;

	constructor() {
		for (let index = 0; index < ENTRIES; index++) {
			this.#entries.set(`e${this.#next++}`, SuspectRegistry.create());
		}
	}

	/** Sends a request through an entry to an endpoint, unless an attempt of it is already running. */
	send(request: number, entryIndex: number, endpointIndex: number): string {
		const entry = [...this.#entries.keys()][entryIndex % this.#entries.size] ?? '';
		const endpoint = this.#endpoints[endpointIndex % ENDPOINTS];
		if (endpoint === undefined || this.#runsOf(request).length > 0) {
			return 'busy';
		}

		const permitId = `p${this.#next++}`;
		const permission = this.#ask({fingerprint: `f${request}`, permitId, entryId: entry});
		if (permission.kind === 'wait' || permission.kind === 'refuse') {
			return permission.kind;
		}

		const suspectMode: RunMode = permission.kind === 'run-alone' ? 'alone' : 'suspect';
		const mode: RunMode = permission.kind === 'run' && !permission.suspect ? 'normal' : suspectMode;
		const outcome = endpoint.admission.offer(permitId, mode);
		if (outcome.kind === 'refused') {
			this.#end(request, permitId, 'not-run');
			return 'endpoint-full';
		}

		endpoint.runs.set(permitId, {request, permitId, entry});
		if (outcome.kind === 'start') {
			endpoint.admission.markStarted(permitId);
		}

		return outcome.kind;
	}

	/** Advances an engine: a batch with a crashing request crashes, any other batch finishes its oldest request. */
	progress(endpointIndex: number): void {
		const endpoint = this.#endpoints[endpointIndex % ENDPOINTS];
		const oldest = [...endpoint?.runs.values() ?? []][0];
		if (endpoint === undefined || oldest === undefined) {
			return;
		}

		if ([...endpoint.runs.values()].some(({request}) => request < CRASHING_REQUESTS) && this.#crash(endpoint)) {
			return;
		}

		this.#finish(endpoint, oldest.permitId);
		this.#end(oldest.request, oldest.permitId, 'finished');
	}

	/** Kills an entry and its registry: endpoints cancel its work, then its death becomes known and a new entry joins. */
	kill(entryIndex: number): void {
		const dead = [...this.#entries.keys()][entryIndex % this.#entries.size] ?? '';
		this.#entries.delete(dead);
		for (const endpoint of this.#endpoints) {
			for (const {permitId, entry} of endpoint.runs.values()) {
				if (entry === dead) {
					this.#finish(endpoint, permitId);
				}
			}
		}

		const handedOver: SuspectRecord[] = [];
		for (const registry of this.#entries.values()) {
			registry.revokePermitsOf(dead);
			handedOver.push(...registry.records(this.now));
		}

		this.#entries.set(`e${this.#next++}`, SuspectRegistry.create());
		for (const record of handedOver) {
			for (const owner of suspectOwnersOf(record.fingerprint, this.#entries.keys())) {
				this.#entries.get(owner)?.merge([record], this.now);
			}
		}
	}

	#runsOf(request: number): readonly Run[] {
		return this.#endpoints.flatMap(({runs}) => [...runs.values()]).filter(run => run.request === request);
	}

	#owners(fingerprint: string): readonly SuspectRegistry[] {
		return suspectOwnersOf(fingerprint, this.#entries.keys()).map(id => this.#entries.get(id)).filter(registry => registry !== undefined);
	}

	#ask(request: PermissionRequest) {
		const [owner, successor] = this.#owners(request.fingerprint);
		const response = owner?.requestPermission(request, this.now);
		if (response?.changed !== undefined) {
			successor?.merge([response.changed], this.now);
		}

		return response?.permission ?? {kind: 'wait', retryAfterMs: 0} as const;
	}

	#end(request: number, permitId: string, how: 'finished' | 'not-run'): void {
		const [owner, successor] = this.#owners(`f${request}`);
		const changed = owner?.endRun({fingerprint: `f${request}`, permitId, how}, this.now);
		if (changed !== undefined) {
			successor?.merge([changed], this.now);
		}
	}

	#finish(endpoint: Endpoint, permitId: string): void {
		endpoint.runs.delete(permitId);
		const nextStarted = endpoint.admission.finish(permitId);
		if (nextStarted !== undefined) {
			endpoint.admission.markStarted(nextStarted);
		}
	}

	/** Crashes the engine if a crashing request has started. Every entry with a request in the batch reports the crash, so reports are repeated. */
	#crash(endpoint: Endpoint): boolean {
		const isCrashing = (run: Run) => run.request < CRASHING_REQUESTS;
		const runs = new Map(endpoint.runs);
		if (![...runs.values()].some(run => isCrashing(run) && this.#hasStarted(endpoint, run.permitId))) {
			return false;
		}

		const {started, notRun, alone} = endpoint.admission.recordCrash();
		endpoint.runs.clear();
		const batch = started.map(id => runs.get(id)).filter(run => run !== undefined);
		const crashId = `c${this.#crashNumber++}`;
		if (alone && batch.length > 1) {
			throw new Error('another request ran beside one that runs alone');
		}

		for (const {request} of batch.filter(run => isCrashing(run))) {
			this.crashes.set(request, (this.crashes.get(request) ?? 0) + 1);
		}

		const report = {crashId, alone, batch: batch.map(({request, permitId}) => ({fingerprint: `f${request}`, permitId}))};
		for (const _ of batch) {
			for (const [id, registry] of this.#entries) {
				registry.reportCrash(report, fingerprint => suspectOwnersOf(fingerprint, this.#entries.keys()).includes(id), this.now);
			}
		}

		for (const id of notRun) {
			const run = runs.get(id);
			this.#end(run?.request ?? 0, id, 'not-run');
		}

		return true;
	}

	/** Whether a request has started: only the held one, which is the latest and not counted in `size`, has not. */
	#hasStarted(endpoint: Endpoint, permitId: string): boolean {
		const ids = [...endpoint.runs.keys()];
		return endpoint.admission.size === ids.length || ids.at(-1) !== permitId;
	}
}

/** Number of harmless requests that were refused. The crashes of each crashing request are counted by the fleet. */
type Model = {refusedHarmless: number};

function check(model: Model, fleet: Fleet): void {
	for (const [request, count] of fleet.crashes) {
		if (count > MAX_CRASHES) {
			throw new Error(`request ${request} crashed ${count} engines`);
		}
	}

	if (model.refusedHarmless > 0) {
		throw new Error('a harmless request was refused');
	}
}

function command(name: string, step: (model: Model, fleet: Fleet) => void): fc.Command<Model, Fleet> {
	return {
		check: () => true,
		run(model, fleet) {
			fleet.now++;
			step(model, fleet);
			check(model, fleet);
		},
		toString: () => name,
	};
}

const send = fc.tuple(fc.nat(REQUESTS - 1), fc.nat(ENTRIES - 1), fc.nat(ENDPOINTS - 1)).map(([request, entry, endpoint]) =>
	command(`send ${request} through ${entry} to ${endpoint}`, (model, fleet) => {
		const refused = fleet.send(request, entry, endpoint) === 'refuse';
		model.refusedHarmless += refused && request >= CRASHING_REQUESTS ? 1 : 0;
	}));
const progress = fc.nat(ENDPOINTS - 1).map(endpoint => command(`progress ${endpoint}`, (_, fleet) => {
	fleet.progress(endpoint);
}));
const kill = fc.nat(ENTRIES - 1).map(entry => command(`kill ${entry}`, (_, fleet) => {
	fleet.kill(entry);
}));

/** Checks that every harmless request runs eventually if callers keep resending. */
function finishAll(fleet: Fleet): void {
	const served = new Set<number>();
	for (let round = 0; round < 20; round++) {
		for (let request = CRASHING_REQUESTS; request < REQUESTS; request++) {
			if (!served.has(request) && ['start', 'hold'].includes(fleet.send(request, round, round + request))) {
				served.add(request);
			}
		}

		for (let turn = 0; turn < REQUESTS * ENDPOINTS; turn++) {
			fleet.progress(turn);
		}
	}

	if (served.size < REQUESTS - CRASHING_REQUESTS) {
		throw new Error(`only ${[...served].join(' ')} were served`);
	}
}

await t.test('a crashing request crashes at most three engines, and a harmless one is never refused', async t => {
	await initHashing();
	fc.assert(fc.property(fc.commands([send, send, send, progress, progress, kill], {maxCommands: 250, size: 'max'}), commands => {
		const fleet = new Fleet();
		fc.modelRun(() => ({model: {refusedHarmless: 0}, real: fleet}), commands);
		finishAll(fleet);
	}), parameters);
	t.pass();
});
