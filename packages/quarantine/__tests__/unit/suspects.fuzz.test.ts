import fc from 'fast-check';
import t from 'tap';
import {initHashing} from '#routing';
import {
	EndpointAdmission, suspectHomesOf, MAX_CRASHES, SuspectRegistry, type PermissionRequest, type RunMode, type SuspectRecord,
} from '#quarantine';
import {fuzzParameters} from '#tooling';

const parameters = fuzzParameters({seed: 20_261_204, runs: 300});
const ENTRIES = 4;
const ENDPOINTS = 3;
/** Requests 0 and 1 crash every engine that runs them, the others none. */
const REQUESTS = 6;
const BAD = 2;

type Run = {readonly request: number; readonly permitId: string; readonly entry: string};
type Endpoint = {gate: EndpointAdmission; runs: Map<string, Run>};

/** Entries that are homes as well, endpoints, and callers that resend after every failure. */
class Fleet {
	now = 0;
	readonly crashes = new Map<number, number>();
	readonly #entries = new Map<string, SuspectRegistry>();
	readonly #endpoints: Endpoint[] = Array.from({length: ENDPOINTS}, () => ({gate: EndpointAdmission.create(), runs: new Map<string, Run>()}));
	#next = 0;
	#crashNumber = 0;

	constructor() {
		for (let index = 0; index < ENTRIES; index++) {
			this.#entries.set(`e${this.#next++}`, SuspectRegistry.create());
		}
	}

	/** A caller sends a request through any entry to any endpoint; one copy of a request is under way at a time. */
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
		const outcome = endpoint.gate.offer(permitId, mode);
		if (outcome.kind === 'refused') {
			this.#end(request, permitId, 'not-run');
			return 'endpoint-full';
		}

		endpoint.runs.set(permitId, {request, permitId, entry});
		if (outcome.kind === 'start') {
			endpoint.gate.markStarted(permitId);
		}

		return outcome.kind;
	}

	/** Every engine makes progress: batches with a bad request crash, the others finish their oldest request. */
	progress(endpointIndex: number): void {
		const endpoint = this.#endpoints[endpointIndex % ENDPOINTS];
		const oldest = [...endpoint?.runs.values() ?? []][0];
		if (endpoint === undefined || oldest === undefined) {
			return;
		}

		if ([...endpoint.runs.values()].some(({request}) => request < BAD) && this.#crash(endpoint)) {
			return;
		}

		this.#finish(endpoint, oldest.permitId);
		this.#end(oldest.request, oldest.permitId, 'finished');
	}

	/** An entry dies with its registry; its endpoints cancel its work, then its death becomes known and a new one joins. */
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
			for (const home of suspectHomesOf(record.fingerprint, this.#entries.keys())) {
				this.#entries.get(home)?.merge([record], this.now);
			}
		}
	}

	#runsOf(request: number): readonly Run[] {
		return this.#endpoints.flatMap(({runs}) => [...runs.values()]).filter(run => run.request === request);
	}

	#homes(fingerprint: string): readonly SuspectRegistry[] {
		return suspectHomesOf(fingerprint, this.#entries.keys()).map(id => this.#entries.get(id)).filter(registry => registry !== undefined);
	}

	#ask(request: PermissionRequest) {
		const [home, successor] = this.#homes(request.fingerprint);
		const answer = home?.requestPermission(request, this.now);
		if (answer?.changed !== undefined) {
			successor?.merge([answer.changed], this.now);
		}

		return answer?.permission ?? {kind: 'wait', retryAfterMs: 0} as const;
	}

	#end(request: number, permitId: string, how: 'finished' | 'not-run'): void {
		const [home, successor] = this.#homes(`f${request}`);
		const changed = home?.endRun({fingerprint: `f${request}`, permitId, how}, this.now);
		if (changed !== undefined) {
			successor?.merge([changed], this.now);
		}
	}

	#finish(endpoint: Endpoint, permitId: string): void {
		endpoint.runs.delete(permitId);
		const started = endpoint.gate.finish(permitId);
		if (started !== undefined) {
			endpoint.gate.markStarted(started);
		}
	}

	/** Crashes the engine if a bad request has started. Every entry with a request in the batch reports, so reports repeat. */
	#crash(endpoint: Endpoint): boolean {
		const isBad = (run: Run) => run.request < BAD;
		const runs = new Map(endpoint.runs);
		if (![...runs.values()].some(run => isBad(run) && this.#isStarted(endpoint, run.permitId))) {
			return false;
		}

		const {started, notRun, alone} = endpoint.gate.recordCrash();
		endpoint.runs.clear();
		const batch = started.map(id => runs.get(id)).filter(run => run !== undefined);
		const crashId = `c${this.#crashNumber++}`;
		if (alone && batch.length > 1) {
			throw new Error('a request that runs alone had company');
		}

		for (const {request} of batch.filter(run => isBad(run))) {
			this.crashes.set(request, (this.crashes.get(request) ?? 0) + 1);
		}

		const report = {crashId, alone, batch: batch.map(({request, permitId}) => ({fingerprint: `f${request}`, permitId}))};
		for (const _ of batch) {
			for (const [id, registry] of this.#entries) {
				registry.reportCrash(report, fingerprint => suspectHomesOf(fingerprint, this.#entries.keys()).includes(id), this.now);
			}
		}

		for (const id of notRun) {
			const run = runs.get(id);
			this.#end(run?.request ?? 0, id, 'not-run');
		}

		return true;
	}

	/** A held request has not started: it is the only one that the gate does not count. */
	#isStarted(endpoint: Endpoint, permitId: string): boolean {
		const ids = [...endpoint.runs.keys()];
		return endpoint.gate.size === ids.length || ids.at(-1) !== permitId;
	}
}

/** The oracle: engines crashed by each bad request are counted by the fleet itself; the model is the number of refusals. */
type Model = {refusedInnocents: number};

function check(model: Model, fleet: Fleet): void {
	for (const [bad, count] of fleet.crashes) {
		if (count > MAX_CRASHES) {
			throw new Error(`request ${bad} crashed ${count} engines`);
		}
	}

	if (model.refusedInnocents > 0) {
		throw new Error('an innocent request was refused');
	}
}

function act(name: string, step: (model: Model, fleet: Fleet) => void): fc.Command<Model, Fleet> {
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
	act(`send ${request} through ${entry} to ${endpoint}`, (model, fleet) => {
		const refused = fleet.send(request, entry, endpoint) === 'refuse';
		model.refusedInnocents += refused && request >= BAD ? 1 : 0;
	}));
const progress = fc.nat(ENDPOINTS - 1).map(endpoint => act(`progress ${endpoint}`, (_, fleet) => {
	fleet.progress(endpoint);
}));
const kill = fc.nat(ENTRIES - 1).map(entry => act(`kill ${entry}`, (_, fleet) => {
	fleet.kill(entry);
}));

/** With callers that go on, every innocent request gets a run in the end. */
function finishAll(fleet: Fleet): void {
	const served = new Set<number>();
	for (let round = 0; round < 20; round++) {
		for (let request = BAD; request < REQUESTS; request++) {
			if (!served.has(request) && ['start', 'hold'].includes(fleet.send(request, round, round + request))) {
				served.add(request);
			}
		}

		for (let turn = 0; turn < REQUESTS * ENDPOINTS; turn++) {
			fleet.progress(turn);
		}
	}

	if (served.size < REQUESTS - BAD) {
		throw new Error(`only ${[...served].join(' ')} got through`);
	}
}

await t.test('a bad request crashes at most three engines and an innocent one is never refused', async t => {
	await initHashing();
	fc.assert(fc.property(fc.commands([send, send, send, progress, progress, kill], {maxCommands: 250, size: 'max'}), commands => {
		const fleet = new Fleet();
		fc.modelRun(() => ({model: {refusedInnocents: 0}, real: fleet}), commands);
		finishAll(fleet);
	}), parameters);
	t.pass();
});
