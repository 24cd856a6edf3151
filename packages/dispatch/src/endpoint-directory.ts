/**
 * The endpoints that an entry may send requests to, as listed by the platform's registry. An endpoint that was seen leaving
 * stays excluded until a new process registers under its name. A registration that disappeared while the registry was
 * unreachable may only have expired because it could not be renewed, so its endpoint stays usable for a grace period.
 *
 * A registry that returns from an old copy says so by a higher era. Revisions are then given out again, so what was read is ordered
 * by era and revision. What an earlier era showed of processes still holds: one that left does not come back.
 */
import {isLaterReading, latestReading, type Reading} from './reading.js';

/** A registered endpoint. */
export type EndpointRecord = {
	readonly id: string;
	readonly service: string;
	/** `HOST:PORT`. */
	readonly address: string;
	readonly zone: string;
	/** Number of requests that it runs concurrently. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Start of the process in Unix ms; distinguishes successive processes with the same id. */
	readonly startedAt: number | undefined;
	/** Revision of the registration. */
	readonly revision: number;
	/** Time for which it stayed cold when the registration was written, in ms; undefined if not given, and from an entry of an earlier version. */
	readonly warmupRemainingMs?: number | undefined;
	/** Era in which it was read; absent if the registry has none. */
	readonly era?: number | undefined;
};

/** A change in what is known of an endpoint. */
export type DirectoryChange = {
	readonly id: string;
	readonly service: string;
	readonly change: 'added' | 'leaving' | 'lapsed' | 'removed' | 'restarted' | 'returned';
	readonly source: LeavingSource;
};

/** Who says that an endpoint leaves: the registry, also by way of another entry, or the endpoint in a response to this entry. */
export type LeavingSource = 'register' | 'answer';

/** A process that has begun to leave, kept so that stale reads do not bring it back. */
export type EndpointTombstone = {
	readonly id: string;
	readonly startedAt: number | undefined;
	/** Revision of the registration that reported it as leaving. */
	readonly revision: number;
	/** Era of that revision; absent if the registry has none. */
	readonly era?: number | undefined;
};

/** Grace period for expired registrations to be renewed once the registry is reachable again, in ms (the platform's contract bounds it at about 2 s). */
export const EXPIRY_GRACE_MS = 2000;

/** Number of removals that are remembered: those of the seconds for which another entry may still list the endpoint, many times over. */
const MAX_REMOVALS = 4096;

/** Number of tombstones that are kept: far more than endpoints leave in the time for which a stale read may list them. */
export const MAX_TOMBSTONES = 4096;

/** Number of replaced processes that are remembered while the registry has eras: those that a copy some seconds old may list, many times over. */
const MAX_REPLACED_PROCESSES = 4096;

/** Time for which a tombstone is part of each message to a peer, in ms: longer than a peer that is still known can have been out of reach. */
export const TOMBSTONE_SHARE_MS = 30_000;

/** Which tombstones a message to a peer carries: those of the last seconds, or all for a peer that cannot read the registry. */
export type TombstoneScope = 'recent' | 'all';

type Tombstone = Reading & {readonly startedAt: number | undefined; readonly source: LeavingSource};

type KnownEndpoint = {record: EndpointRecord; expiresAt: number | undefined};

export class EndpointDirectory {
	/** Creates an empty directory. */
	static create(): EndpointDirectory {
		return new EndpointDirectory();
	}

	readonly #endpoints = new Map<string, KnownEndpoint>();
	/** Processes seen leaving; a stale read must not bring them back. */
	readonly #tombstones = new Map<string, Tombstone>();
	/** When tombstones were first seen by `removeExpired` (monotonic ms); undefined until then. */
	readonly #recentTombstones = new Map<string, number | undefined>();
	/** Readings that showed the removal of a registration, oldest first. */
	readonly #removals = new Map<string, Reading>();
	/** Processes that another one with their id replaced, oldest first; an old copy of the registry may list them. */
	readonly #replacedProcesses = new Set<string>();
	#era: number | undefined;
	readonly #listeners = new Set<(change: DirectoryChange) => void>();
	readonly #recordListeners = new Set<(record: EndpointRecord) => void>();
	#isRegistryUnreachable = false;
	#graceUntil = Number.NEGATIVE_INFINITY;

	/** Calls the listener on each change; returns a function that removes it. */
	registerListener(listener: (change: DirectoryChange) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Calls the listener with each new revision of a registration, after its change. */
	registerRecordListener(listener: (record: EndpointRecord) => void): void {
		this.#recordListeners.add(listener);
	}

	/** Whether the registry responded to the last call. */
	get isRegistryReachable(): boolean {
		return !this.#isRegistryUnreachable;
	}

	/** The era of the latest listing; undefined if the registry has none. */
	get era(): number | undefined {
		return this.#era;
	}

	/**
	 * Records the era of a listing that is about to be applied at `now` (monotonic ms); returns whether it is a higher one. A registration
	 * that such a listing lacks may only not be written again yet, so its endpoint stays usable for the grace period.
	 */
	enterEra(era: number, now: number): boolean {
		const isRise = this.#era !== undefined && era > this.#era;
		this.#era = Math.max(era, this.#era ?? era);
		if (isRise) {
			this.#graceUntil = now + EXPIRY_GRACE_MS;
			for (const known of this.#endpoints.values()) {
				known.expiresAt &&= this.#graceUntil;
			}
		}

		return isRise;
	}

	/** Tombstones to send to a peer. */
	tombstones(scope: TombstoneScope): readonly EndpointTombstone[] {
		return [...this.#tombstones].flatMap(([id, {startedAt, revision, era}]) => scope === 'all' || this.#recentTombstones.has(id) ? [{id, startedAt, ...readingOf(revision, era)}] : []);
	}

	/** Applies a tombstone received from a peer. Without an era, from an entry of an earlier version, only its process is compared if the registry has eras. */
	addTombstone(received: EndpointTombstone): void {
		const {id, startedAt, revision, era} = received;
		const reading = readingOf(revision, era);
		const existing = this.#tombstones.get(id);
		const known = this.#endpoints.get(id);
		// An old copy may list a process that left in an earlier era; its tombstone then has the earlier reading.
		const isRelisted = known !== undefined && startedAt !== undefined && known.record.startedAt === startedAt && known.record.era !== era;
		if ((existing !== undefined && !isLaterReading(reading, existing)) || (known !== undefined && !isRelisted && isLaterReading(known.record, reading))) {
			if ((existing ?? known?.record)?.startedAt !== startedAt) {
				this.#noteReplaced(id, startedAt);
			}

			return;
		}

		this.#setTombstone(id, {...latestReading(reading, known?.record), startedAt, source: existing?.startedAt === startedAt ? (existing?.source ?? 'register') : 'register'});
		if (known !== undefined) {
			this.#endpoints.delete(id);
			this.#notify(known.record, 'leaving');
		}
	}

	/**
	 * Records that an endpoint said in a response that it leaves. Only a registration of another process under its id ends this.
	 * Returns whether the endpoint was listed until now.
	 *
	 * @param record - The registration by which the request was sent; the response says nothing of a later process.
	 */
	recordLeaving(record: EndpointRecord): boolean {
		const {id, startedAt} = record;
		const known = this.#endpoints.get(id);
		const tombstone = this.#tombstones.get(id);
		const isOfLaterProcess = (other: (Reading & {readonly startedAt: number | undefined}) | undefined) => other !== undefined && other.startedAt !== startedAt && isLaterReading(other, record);
		if (isOfLaterProcess(known?.record) || isOfLaterProcess(tombstone) || this.#isReplaced(record)) {
			return false;
		}

		this.#setTombstone(id, {...latestReading(record, known?.record, tombstone), startedAt, source: 'answer'});
		if (known === undefined) {
			return false;
		}

		this.#endpoints.delete(id);
		this.#notify(known.record, 'leaving', 'answer');
		return true;
	}

	/** Who said that an endpoint leaves; the registry if it lists it no more. */
	leavingSource(id: string): LeavingSource {
		return this.#tombstones.get(id)?.source ?? 'register';
	}

	/** Records that the registry cannot be read. */
	noteRegistryUnreachable(): void {
		this.#isRegistryUnreachable = true;
	}

	/** Records that the registry responded at `now` (monotonic ms). */
	noteRegistryReachable(now: number): void {
		if (this.#isRegistryUnreachable) {
			this.#isRegistryUnreachable = false;
			this.#graceUntil = now + EXPIRY_GRACE_MS;
		}
	}

	/**
	 * Applies a complete listing, read at `now` (monotonic ms).
	 *
	 * @param revision - Revision of the registry that the listing shows at least; undefined for the listing of a peer.
	 */
	replaceAll(records: readonly EndpointRecord[], now: number, revision?: number): void {
		const present = new Set(records.map(record => record.id));
		for (const record of records) {
			this.put(record);
		}

		for (const id of this.#endpoints.keys()) {
			if (!present.has(id)) {
				this.remove(id, revision, now);
			}
		}
	}

	/** Adds or updates one registration. A reading earlier than the known one is ignored. One without an era is of the current era. */
	put(received: EndpointRecord): void {
		const record = received.era === undefined && this.#era !== undefined ? {...received, era: this.#era} : received;
		const tombstone = this.#tombstones.get(record.id);
		if (tombstone !== undefined && (!isLaterReading(record, tombstone) || isSameProcess(tombstone, record))) {
			return;
		}

		const known = this.#endpoints.get(record.id);
		const removal = this.#removals.get(record.id);
		if ((known !== undefined && isLaterReading(known.record, record)) || (removal !== undefined && !isLaterReading(record, removal)) || this.#isReplaced(record)) {
			return;
		}

		this.#noteReplacedBy(record, known?.record, tombstone);
		if (record.isLeaving) {
			this.#setTombstone(record.id, {...readingOf(record.revision, record.era), startedAt: record.startedAt, source: 'register'});
			if (known !== undefined) {
				this.#endpoints.delete(record.id);
				this.#notify(record, 'leaving');
			}

			return;
		}

		this.#tombstones.delete(record.id);
		this.#recentTombstones.delete(record.id);
		this.#endpoints.set(record.id, {record, expiresAt: undefined});
		if (known === undefined) {
			this.#notify(record, 'added');
		} else if (known.record.startedAt !== record.startedAt) {
			this.#notify(record, 'restarted');
		} else if (known.expiresAt !== undefined) {
			this.#notify(record, 'returned');
		}

		if (known?.record.revision !== record.revision) {
			for (const listener of this.#recordListeners) {
				listener(record);
			}
		}
	}

	/**
	 * Applies the removal of a registration, read at `now` (monotonic ms).
	 *
	 * @param revision - Older registrations do not bring the endpoint back; undefined if a peer no longer lists it.
	 */
	remove(id: string, revision: number | undefined, now: number): void {
		const known = this.#endpoints.get(id);
		const reading = revision === undefined ? undefined : readingOf(revision, this.#era);
		if (known !== undefined && reading !== undefined && isLaterReading(known.record, reading)) {
			return;
		}

		if (reading !== undefined) {
			this.#noteRemoval(id, reading);
		}

		if (known === undefined) {
			return;
		}

		if (now < this.#graceUntil) {
			if (known.expiresAt === undefined) {
				known.expiresAt = this.#graceUntil;
				this.#notify(known.record, 'lapsed');
			}

			return;
		}

		this.#endpoints.delete(id);
		this.#notify(known.record, 'removed');
	}

	/** Removes expired registrations whose grace period has ended by `now` (monotonic ms), and stops sharing old tombstones; called regularly. */
	removeExpired(now: number): void {
		for (const [id, seenAt = now] of this.#recentTombstones) {
			if (now - seenAt >= TOMBSTONE_SHARE_MS) {
				this.#recentTombstones.delete(id);
			} else {
				this.#recentTombstones.set(id, seenAt);
			}
		}

		for (const [id, known] of this.#endpoints) {
			if (known.expiresAt !== undefined && now >= known.expiresAt) {
				this.#endpoints.delete(id);
				this.#notify(known.record, 'removed');
			}
		}
	}

	/** The endpoint with this id if it accepts new requests at `now` (monotonic ms). */
	lookUp(id: string, now: number): EndpointRecord | undefined {
		const known = this.#endpoints.get(id);
		return known === undefined || (known.expiresAt !== undefined && now >= known.expiresAt) ? undefined : known.record;
	}

	/** The endpoints of a service that accept new requests at `now` (monotonic ms). */
	endpointsOf(service: string, now: number): readonly EndpointRecord[] {
		return [...this.#endpoints.values()]
			.filter(({record, expiresAt}) => record.service === service && (expiresAt === undefined || now < expiresAt))
			.map(({record}) => record);
	}

	/** Number of known endpoints. */
	get size(): number {
		return this.#endpoints.size;
	}

	/** Known registrations to send to a peer. */
	records(): readonly EndpointRecord[] {
		return [...this.#endpoints.values()].map(({record}) => record);
	}

	#setTombstone(id: string, tombstone: Tombstone): void {
		this.#tombstones.delete(id);
		this.#tombstones.set(id, tombstone);
		this.#recentTombstones.set(id, undefined);
		if (this.#tombstones.size > MAX_TOMBSTONES) {
			const oldest = this.#tombstones.keys().next().value!;
			this.#tombstones.delete(oldest);
			this.#recentTombstones.delete(oldest);
		}
	}

	#noteRemoval(id: string, reading: Reading): void {
		const latest = latestReading(reading, this.#removals.get(id));
		this.#removals.delete(id);
		this.#removals.set(id, latest);
		if (this.#removals.size > MAX_REMOVALS) {
			this.#removals.delete(this.#removals.keys().next().value!);
		}
	}

	/** Remembers which processes a registration replaces. */
	#noteReplacedBy(record: EndpointRecord, known: EndpointRecord | undefined, tombstone: Tombstone | undefined): void {
		if (tombstone !== undefined && tombstone.startedAt !== record.startedAt) {
			this.#noteReplaced(record.id, tombstone.startedAt);
		}

		// Within an era the later registration is that of the later process; across eras it may come from an old copy.
		if (known !== undefined && known.startedAt !== record.startedAt && known.era === record.era) {
			this.#noteReplaced(record.id, known.startedAt);
		}
	}

	/** Remembers a process that another one replaced; without eras, revisions alone keep it away. */
	#noteReplaced(id: string, startedAt: number | undefined): void {
		if (this.#era === undefined || startedAt === undefined) {
			return;
		}

		this.#replacedProcesses.add(`${id} ${startedAt}`);
		if (this.#replacedProcesses.size > MAX_REPLACED_PROCESSES) {
			this.#replacedProcesses.delete(this.#replacedProcesses.values().next().value!);
		}
	}

	#isReplaced({id, startedAt}: EndpointRecord): boolean {
		return this.#replacedProcesses.has(`${id} ${startedAt}`);
	}

	#notify(record: EndpointRecord, change: DirectoryChange['change'], source: LeavingSource = 'register'): void {
		for (const listener of this.#listeners) {
			listener({
				id: record.id, service: record.service, change, source,
			});
		}
	}
}

/** A reading without the era if there is none, so that messages to peers stay as they are. */
function readingOf(revision: number, era: number | undefined): Reading {
	return era === undefined ? {revision} : {revision, era};
}

/** Whether a registration is of the process that is leaving. Without a start time it may be another one, unless the process itself said that it leaves, or the registration is of another era and may come from an old copy. */
function isSameProcess({startedAt, source, era}: Tombstone, record: EndpointRecord): boolean {
	return startedAt === record.startedAt && (startedAt !== undefined || source === 'answer' || era !== record.era);
}
