/**
 * Requests that crash engines, at this entry: asks the home of a suspect's fingerprint
 * for permission to run, reports crashes, and is home for its share of fingerprints.
 */
import {z} from 'zod';
import {mergeTeardowns, type Teardown} from '#core';
import {type Peering} from '#peering';
import {type PeerLink} from '#protocol';
import {
	suspectHomesOf, KnownSuspects, SuspectRegistry, type CrashReport, type Permission, type RunEnd, type SuspectRecord,
} from '#quarantine';
import {type Logger} from '#telemetry';

const TOPIC = 'suspect';

/** Permissions of an entry that is gone end after this time; endpoints cancel a lost entry's work at once. */
const DEATH_PAUSE_MS = 5000;

/** Pause before a permission is asked for again. */
const WAIT_MS = 1000;

/** Fingerprints in one message; the latest are told to an entry that connects. */
const MAX_LISTED = 4096;

const fingerprint = z.string().min(1).max(64);
const id = z.string().min(1).max(256);

const recordSchema = z.object({
	fingerprint,
	version: z.number().int().nonnegative(),
	crashes: z.array(z.object({crashId: id, alone: z.boolean()})).max(16).readonly(),
	cleared: z.boolean(),
	permit: z.object({permitId: id, entryId: id, alone: z.boolean()}).optional(),
	ended: z.array(id).max(64).readonly(),
	crashedAt: z.number(),
});

const questionSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('ask'), fingerprint, permitId: id}),
	z.object({
		kind: z.literal('crash'), fingerprint, permitId: id, crashId: id, alone: z.boolean(),
	}),
	// From an endpoint, about a request that another entry sent.
	z.object({
		kind: z.literal('crashed'), fingerprint, permitId: id, crashId: id, alone: z.boolean(),
	}),
	z.object({
		kind: z.literal('end'), fingerprint, permitId: id, how: z.enum(['finished', 'not-run', 'cancelled']),
	}),
	z.object({kind: z.literal('merge'), records: z.array(recordSchema).max(4096)}),
]);

type Question = z.infer<typeof questionSchema>;

const permissionSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('run'), suspect: z.boolean()}),
	z.object({kind: z.literal('run-alone')}),
	z.object({kind: z.literal('wait'), retryAfterMs: z.number().nonnegative()}),
	z.object({
		kind: z.literal('refuse'), reason: z.literal('quarantined'), outcome: z.literal('not-run'), untilMs: z.number(),
	}),
]);

/** Records travel without undefined fields. */
function toWire({permit, ...rest}: SuspectRecord): unknown {
	return permit === undefined ? rest : {...rest, permit};
}

function fromWire({permit, ...rest}: z.infer<typeof recordSchema>): SuspectRecord {
	return {...rest, permit};
}

export type SuspectsOptions = {
	readonly peering: Peering;
	readonly log: Logger;
};

export class Suspects {
	static create(options: SuspectsOptions): Suspects {
		return new Suspects(options);
	}

	readonly #peering: Peering;
	readonly #log: Logger;
	readonly #registry = SuspectRegistry.create();
	readonly #known = KnownSuspects.create();
	readonly #teardown: Teardown;

	private constructor({peering, log}: SuspectsOptions) {
		this.#peering = peering;
		this.#log = log.part('quarantine');
		this.#teardown = mergeTeardowns(
			peering.pool.registerTopic(TOPIC, async (payload, peer) => this.#answer(payload, peer.id)),
			peering.pool.registerLinkListener(link => {
				this.#onLink(link);
			}),
			peering.kernel.registerUpdateListener((next, prev) => {
				const gone = prev.directory === next.directory ? [] : prev.directory.entryIds.filter(entryId => next.directory.get(entryId) === undefined);
				this.#onGone(gone);
				if (next.directory.entryIds.join(',') !== prev.directory.entryIds.join(',')) {
					// Homes may have moved, so records go to where they belong now.
					void this.#replicate(this.#registry.records(Date.now()));
				}
			}),
		);
	}

	/** Number of suspects that this entry holds as home or successor. */
	get size(): number {
		return this.#registry.size;
	}

	/** True if a request with this fingerprint was in a batch that crashed. */
	isSuspect(print: string): boolean {
		return this.#known.needsPermission(print, Date.now());
	}

	/**
	 * Asks for permission to run a suspect.
	 *
	 * @returns `wait` also when neither home answers: the suspect must not run without one.
	 */
	async ask(print: string, permitId: string): Promise<Permission> {
		const answer = await this.#askHomes(print, {kind: 'ask', fingerprint: print, permitId});
		const parsed = permissionSchema.safeParse(answer);
		return parsed.success ? parsed.data : {kind: 'wait', retryAfterMs: WAIT_MS};
	}

	/** Reports a crash that hit a request of this entry. Resolves once a home knows of it, or no home can be reached. */
	async reportCrash(print: string, permitId: string, crash: {readonly crashId: string; readonly alone: boolean}): Promise<void> {
		this.#known.add([print], Date.now());
		this.#spread([print]);
		await this.#askHomes(print, {
			kind: 'crash', fingerprint: print, permitId, ...crash,
		});
	}

	/** Reports how a run that had a permission ended. */
	async reportEnd(end: RunEnd): Promise<void> {
		await this.#askHomes(end.fingerprint, {kind: 'end', ...end});
	}

	close(): void {
		this.#teardown();
	}

	#onLink(link: PeerLink): void {
		if (link.peer.role !== 'entry') {
			return;
		}

		const known = this.#known.list(Date.now());
		if (known.length > 0) {
			link.send({kind: 'suspects', fingerprints: known.slice(-MAX_LISTED)});
		}

		link.registerMessage('suspects', ({fingerprints}) => {
			const fresh = fingerprints.filter(print => !this.isSuspect(print));
			this.#known.add(fresh, Date.now());
			this.#spread(fresh);
		});
	}

	/** Tells the linked entries, which pass new ones on, so that a resend through any entry is recognised. */
	#spread(fingerprints: readonly string[]): void {
		if (fingerprints.length === 0) {
			return;
		}

		for (const link of this.#peering.pool.links) {
			if (link.peer.role === 'entry') {
				link.send({kind: 'suspects', fingerprints});
			}
		}
	}

	/** Asks the home, and its successor if the home does not answer. */
	async #askHomes(print: string, question: Question): Promise<unknown> {
		for (const home of this.#homes(print)) {
			try {
				if (home === this.#peering.machine.id) {
					return await this.#handle(question, home);
				}

				const link = await this.#peering.linkTo(home);
				return await this.#peering.pool.ask(link, TOPIC, question);
			} catch {
				this.#log.warn('home does not answer; asking its successor', {home});
			}
		}

		return undefined;
	}

	#homes(print: string): readonly string[] {
		const ids = new Set([...this.#peering.kernel.snapshot.directory.entryIds, this.#peering.machine.id]);
		return suspectHomesOf(print, ids);
	}

	async #answer(payload: unknown, from: string): Promise<unknown> {
		return this.#handle(questionSchema.parse(payload), from);
	}

	async #handle(question: Question, from: string): Promise<unknown> {
		const now = Date.now();
		switch (question.kind) {
			case 'ask': {
				const {permission, changed} = this.#registry.requestPermission({fingerprint: question.fingerprint, permitId: question.permitId, entryId: from}, now);
				const known = await this.#replicate(changed === undefined ? [] : [changed]);
				return known ? permission : {kind: 'wait', retryAfterMs: WAIT_MS} satisfies Permission;
			}

			case 'crash': {
				const report: CrashReport = {crashId: question.crashId, alone: question.alone, batch: [{fingerprint: question.fingerprint, permitId: question.permitId}]};
				await this.#replicate(this.#registry.reportCrash(report, () => true, now));
				return {kind: 'noted'};
			}

			case 'crashed': {
				await this.reportCrash(question.fingerprint, question.permitId, {crashId: question.crashId, alone: question.alone});
				return {kind: 'noted'};
			}

			case 'end': {
				const changed = this.#registry.endRun(question, now);
				await this.#replicate(changed === undefined ? [] : [changed]);
				return {kind: 'noted'};
			}

			case 'merge': {
				this.#registry.merge(question.records.map(record => fromWire(record)), now);
				return {kind: 'noted'};
			}
		}
	}

	/**
	 * Gives changed records to the other homes before anybody is answered.
	 *
	 * @returns False if a home that is not known to be dead did not take them: it could otherwise take over without them.
	 */
	async #replicate(records: readonly SuspectRecord[]): Promise<boolean> {
		const self = this.#peering.machine.id;
		const taken = await Promise.all(records.map(async record => {
			const others = this.#homes(record.fingerprint).filter(home => home !== self);
			const answers = await Promise.all(others.map(async home => this.#giveTo(home, record)));
			return answers.every(Boolean);
		}));
		return taken.every(Boolean);
	}

	async #giveTo(home: string, record: SuspectRecord): Promise<boolean> {
		try {
			const link = await this.#peering.linkTo(home);
			await this.#peering.pool.ask(link, TOPIC, {kind: 'merge', records: [toWire(record)]});
			return true;
		} catch {
			this.#log.warn('other home does not answer', {home});
			return this.#peering.kernel.snapshot.directory.get(home) === undefined;
		}
	}

	#onGone(entryIds: readonly string[]): void {
		for (const entryId of entryIds) {
			setTimeout(() => {
				void this.#replicate(this.#registry.revokePermitsOf(entryId));
			}, DEATH_PAUSE_MS).unref();
		}
	}
}
