/**
 * Quarantine of requests that crash engines, at this entry: requests permission to run suspects from
 * the owner of their fingerprint, reports crashes, and owns its share of the fingerprints.
 */
import {z} from 'zod';
import {mergeTeardowns, type Teardown} from '#core';
import {type Peering} from '#peering';
import {type PeerLink} from '#protocol';
import {
	suspectOwnersOf, KnownSuspects, SuspectRegistry, type CrashReport, type Permission, type RunEnd, type SuspectRecord,
} from '#quarantine';
import {type Logger} from '#telemetry';

const TOPIC = 'suspect';

/** Delay after which the permissions of a lost entry are revoked; endpoints cancel its work immediately. */
const ENTRY_LOSS_DELAY_MS = 5000;

/** Delay before a permission is requested again. */
const PERMISSION_RETRY_DELAY_MS = 1000;

/** Maximum number of fingerprints in one message; an entry that connects gets the latest ones. */
const MAX_ANNOUNCED_FINGERPRINTS = 4096;

const fingerprintSchema = z.string().min(1).max(64);
const idSchema = z.string().min(1).max(256);

const recordSchema = z.object({
	fingerprint: fingerprintSchema,
	version: z.number().int().nonnegative(),
	crashes: z.array(z.object({crashId: idSchema, alone: z.boolean()})).max(16).readonly(),
	cleared: z.boolean(),
	permit: z.object({permitId: idSchema, entryId: idSchema, alone: z.boolean()}).optional(),
	ended: z.array(idSchema).max(64).readonly(),
	crashedAt: z.number(),
});

const requestSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('ask'), fingerprint: fingerprintSchema, permitId: idSchema}),
	z.object({
		kind: z.literal('crash'), fingerprint: fingerprintSchema, permitId: idSchema, crashId: idSchema, alone: z.boolean(),
	}),
	// Sent by an endpoint, about a request from another entry.
	z.object({
		kind: z.literal('crashed'), fingerprint: fingerprintSchema, permitId: idSchema, crashId: idSchema, alone: z.boolean(),
	}),
	z.object({
		kind: z.literal('end'), fingerprint: fingerprintSchema, permitId: idSchema, how: z.enum(['finished', 'not-run', 'cancelled']),
	}),
	z.object({kind: z.literal('merge'), records: z.array(recordSchema).max(4096)}),
]);

type QuarantineRequest = z.infer<typeof requestSchema>;

const permissionSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('run'), suspect: z.boolean()}),
	z.object({kind: z.literal('run-alone')}),
	z.object({kind: z.literal('wait'), retryAfterMs: z.number().nonnegative()}),
	z.object({
		kind: z.literal('refuse'), reason: z.literal('quarantined'), outcome: z.literal('not-run'), untilMs: z.number(),
	}),
]);

/** Omits undefined fields. */
function toWire({permit, ...rest}: SuspectRecord): unknown {
	return permit === undefined ? rest : {...rest, permit};
}

function fromWire({permit, ...rest}: z.infer<typeof recordSchema>): SuspectRecord {
	return {...rest, permit};
}

export type QuarantineOptions = {
	readonly peering: Peering;
	readonly log: Logger;
};

export class Quarantine {
	static create(options: QuarantineOptions): Quarantine {
		return new Quarantine(options);
	}

	readonly #peering: Peering;
	readonly #log: Logger;
	readonly #registry = SuspectRegistry.create();
	readonly #knownSuspects = KnownSuspects.create();
	readonly #teardown: Teardown;

	private constructor({peering, log}: QuarantineOptions) {
		this.#peering = peering;
		this.#log = log.child('quarantine');
		this.#teardown = mergeTeardowns(
			peering.pool.registerAskHandler(TOPIC, async (payload, peer) => this.#onRequest(payload, peer.id)),
			peering.pool.registerLinkListener(link => {
				this.#onLink(link);
			}),
			peering.kernel.registerUpdateListener((next, prev) => {
				const removed = prev.directory === next.directory ? [] : prev.directory.entryIds.filter(entryId => next.directory.get(entryId) === undefined);
				this.#onEntriesRemoved(removed);
				if (next.directory.entryIds.join(',') !== prev.directory.entryIds.join(',')) {
					// Ownership may have changed, so records are replicated to their current owners.
					void this.#replicate(this.#registry.records(Date.now()));
				}
			}),
		);
	}

	/** Number of suspects that this entry stores as owner or successor. */
	get size(): number {
		return this.#registry.size;
	}

	/** True if a request with this fingerprint was in a batch that crashed. */
	isSuspect(fingerprint: string): boolean {
		return this.#knownSuspects.needsPermission(fingerprint, Date.now());
	}

	/**
	 * Requests permission to run a suspect.
	 *
	 * @returns `wait` also if no owner responds, since a suspect must not run without permission.
	 */
	async requestPermission(fingerprint: string, permitId: string): Promise<Permission> {
		const response = await this.#askOwners(fingerprint, {kind: 'ask', fingerprint, permitId});
		const parsed = permissionSchema.safeParse(response);
		return parsed.success ? parsed.data : {kind: 'wait', retryAfterMs: PERMISSION_RETRY_DELAY_MS};
	}

	/** Reports a crash that affected a request. Resolves once an owner has recorded it, or if no owner is reachable. */
	async reportCrash(fingerprint: string, permitId: string, crash: {readonly crashId: string; readonly alone: boolean}): Promise<void> {
		this.#knownSuspects.add([fingerprint], Date.now());
		this.#broadcast([fingerprint]);
		await this.#askOwners(fingerprint, {
			kind: 'crash', fingerprint, permitId, ...crash,
		});
	}

	/** Reports the end of a run that had a permission. */
	async reportEnd(result: RunEnd): Promise<void> {
		await this.#askOwners(result.fingerprint, {kind: 'end', ...result});
	}

	close(): void {
		this.#teardown();
	}

	#onLink(link: PeerLink): void {
		if (link.peer.role !== 'entry') {
			return;
		}

		const known = this.#knownSuspects.list(Date.now());
		if (known.length > 0) {
			link.send({kind: 'suspects', fingerprints: known.slice(-MAX_ANNOUNCED_FINGERPRINTS)});
		}

		link.registerMessageHandler('suspects', ({fingerprints}) => {
			const newFingerprints = fingerprints.filter(fingerprint => !this.isSuspect(fingerprint));
			this.#knownSuspects.add(newFingerprints, Date.now());
			this.#broadcast(newFingerprints);
		});
	}

	/** Sends fingerprints to all linked entries, which forward new ones, so that a suspect resent through any entry is recognised. */
	#broadcast(fingerprints: readonly string[]): void {
		if (fingerprints.length === 0) {
			return;
		}

		for (const link of this.#peering.pool.links) {
			if (link.peer.role === 'entry') {
				link.send({kind: 'suspects', fingerprints});
			}
		}
	}

	/** Sends a request to the owner, or to its successor if the owner does not respond. */
	async #askOwners(fingerprint: string, request: QuarantineRequest): Promise<unknown> {
		for (const owner of this.#ownersOf(fingerprint)) {
			try {
				if (owner === this.#peering.machine.id) {
					return await this.#handle(request, owner);
				}

				const link = await this.#peering.linkTo(owner);
				return await this.#peering.pool.ask(link, TOPIC, request);
			} catch {
				this.#log.warn('fingerprint owner did not respond; trying its successor', {home: owner});
			}
		}

		return undefined;
	}

	#ownersOf(fingerprint: string): readonly string[] {
		const ids = new Set([...this.#peering.kernel.snapshot.directory.entryIds, this.#peering.machine.id]);
		return suspectOwnersOf(fingerprint, ids);
	}

	async #onRequest(payload: unknown, from: string): Promise<unknown> {
		return this.#handle(requestSchema.parse(payload), from);
	}

	async #handle(request: QuarantineRequest, from: string): Promise<unknown> {
		const now = Date.now();
		switch (request.kind) {
			case 'ask': {
				const {permission, changed} = this.#registry.requestPermission({fingerprint: request.fingerprint, permitId: request.permitId, entryId: from}, now);
				const isReplicated = await this.#replicate(changed === undefined ? [] : [changed]);
				return isReplicated ? permission : {kind: 'wait', retryAfterMs: PERMISSION_RETRY_DELAY_MS} satisfies Permission;
			}

			case 'crash': {
				const report: CrashReport = {crashId: request.crashId, alone: request.alone, batch: [{fingerprint: request.fingerprint, permitId: request.permitId}]};
				await this.#replicate(this.#registry.reportCrash(report, () => true, now));
				return {kind: 'noted'};
			}

			case 'crashed': {
				await this.reportCrash(request.fingerprint, request.permitId, {crashId: request.crashId, alone: request.alone});
				return {kind: 'noted'};
			}

			case 'end': {
				const changed = this.#registry.endRun(request, now);
				await this.#replicate(changed === undefined ? [] : [changed]);
				return {kind: 'noted'};
			}

			case 'merge': {
				this.#registry.merge(request.records.map(record => fromWire(record)), now);
				return {kind: 'noted'};
			}
		}
	}

	/**
	 * Replicates changed records to the other owners before a response is sent.
	 *
	 * @returns False if an owner that is not known to be dead did not store them: it could take over without them.
	 */
	async #replicate(records: readonly SuspectRecord[]): Promise<boolean> {
		const self = this.#peering.machine.id;
		const stored = await Promise.all(records.map(async record => {
			const others = this.#ownersOf(record.fingerprint).filter(owner => owner !== self);
			const results = await Promise.all(others.map(async owner => this.#replicateTo(owner, record)));
			return results.every(Boolean);
		}));
		return stored.every(Boolean);
	}

	async #replicateTo(owner: string, record: SuspectRecord): Promise<boolean> {
		try {
			const link = await this.#peering.linkTo(owner);
			await this.#peering.pool.ask(link, TOPIC, {kind: 'merge', records: [toWire(record)]});
			return true;
		} catch {
			this.#log.warn('cannot replicate a suspect record; the other owner did not respond', {home: owner});
			return this.#peering.kernel.snapshot.directory.get(owner) === undefined;
		}
	}

	#onEntriesRemoved(entryIds: readonly string[]): void {
		for (const entryId of entryIds) {
			setTimeout(() => {
				void this.#replicate(this.#registry.revokePermitsOf(entryId));
			}, ENTRY_LOSS_DELAY_MS).unref();
		}
	}
}
