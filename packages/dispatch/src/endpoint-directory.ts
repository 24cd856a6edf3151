/**
 * The endpoints that an entry may send requests to, as the platform's register tells.
 * An endpoint that was seen leaving stays out until a new process has taken its name. Entries that
 * vanished while the register was out of reach may only have lapsed; they get a short grace.
 */

/** An endpoint as registered. */
export type EndpointRecord = {
	readonly id: string;
	readonly service: string;
	/** `HOST:PORT`. */
	readonly address: string;
	readonly zone: string;
	/** Requests that run at once. */
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Start of the process in Unix ms; tells two processes of one id apart. */
	readonly startedAt: number | undefined;
	/** Revision of the entry in the register. */
	readonly revision: number;
};

/** A change of what is believed about an endpoint. */
export type DirectoryChange = {
	readonly id: string;
	readonly service: string;
	readonly change: 'added' | 'leaving' | 'lapsed' | 'removed' | 'restarted' | 'returned';
};

/** A process that is leaving. */
export type EndpointTombstone = {
	readonly id: string;
	readonly startedAt: number | undefined;
	/** Revision of the entry that told so. */
	readonly revision: number;
};

/** Time for lapsed entries to come back once the register is reachable again, in ms (bound of the platform's contract: about 2 s). */
export const EXPIRY_GRACE_MS = 2000;

type KnownEndpoint = {record: EndpointRecord; expiresAt: number | undefined};

export class EndpointDirectory {
	/** Creates an empty directory. */
	static create(): EndpointDirectory {
		return new EndpointDirectory();
	}

	readonly #endpoints = new Map<string, KnownEndpoint>();
	/** Processes seen leaving or removed; a late reading must not bring them back. */
	readonly #tombstones = new Map<string, {startedAt: number | undefined; revision: number}>();
	readonly #listeners = new Set<(change: DirectoryChange) => void>();
	#isRegistryUnreachable = false;
	#graceUntil = Number.NEGATIVE_INFINITY;

	/** Runs for each change; returns the teardown. */
	registerListener(listener: (change: DirectoryChange) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Whether the register answered last time. */
	get isRegistryReachable(): boolean {
		return !this.#isRegistryUnreachable;
	}

	/** Processes seen leaving, to be told to a peer. */
	tombstones(): readonly EndpointTombstone[] {
		return [...this.#tombstones].map(([id, {startedAt, revision}]) => ({id, startedAt, revision}));
	}

	/** Takes what a peer saw leaving. */
	addTombstone({id, startedAt, revision}: EndpointTombstone): void {
		const former = this.#tombstones.get(id);
		const known = this.#endpoints.get(id);
		if ((former !== undefined && former.revision >= revision) || (known !== undefined && known.record.revision > revision)) {
			return;
		}

		this.#tombstones.set(id, {startedAt, revision});
		if (known !== undefined) {
			this.#endpoints.delete(id);
			this.#notify(known.record, 'leaving');
		}
	}

	/** Notes that the register cannot be read. */
	noteRegistryUnreachable(): void {
		this.#isRegistryUnreachable = true;
	}

	/** Notes that the register answered at `now` (steady ms). */
	noteRegistryReachable(now: number): void {
		if (this.#isRegistryUnreachable) {
			this.#isRegistryUnreachable = false;
			this.#graceUntil = now + EXPIRY_GRACE_MS;
		}
	}

	/** Takes the whole register as read at `now` (steady ms). */
	replaceAll(records: readonly EndpointRecord[], now: number): void {
		const present = new Set(records.map(record => record.id));
		for (const record of records) {
			this.put(record);
		}

		for (const id of this.#endpoints.keys()) {
			if (!present.has(id)) {
				this.remove(id, undefined, now);
			}
		}
	}

	/** Takes one entry. A revision below the one known is ignored. */
	put(record: EndpointRecord): void {
		const left = this.#tombstones.get(record.id);
		if (left !== undefined && (record.revision <= left.revision || (left.startedAt !== undefined && left.startedAt === record.startedAt))) {
			return;
		}

		const known = this.#endpoints.get(record.id);
		if (known !== undefined && record.revision < known.record.revision) {
			return;
		}

		if (record.isLeaving) {
			this.#tombstones.set(record.id, {startedAt: record.startedAt, revision: record.revision});
			if (known !== undefined) {
				this.#endpoints.delete(record.id);
				this.#notify(record, 'leaving');
			}

			return;
		}

		this.#tombstones.delete(record.id);
		this.#endpoints.set(record.id, {record, expiresAt: undefined});
		if (known === undefined) {
			this.#notify(record, 'added');
		} else if (known.record.startedAt !== record.startedAt) {
			this.#notify(record, 'restarted');
		} else if (known.expiresAt !== undefined) {
			this.#notify(record, 'returned');
		}
	}

	/** Takes the removal of an entry, read at `now` (steady ms). */
	remove(id: string, revision: number | undefined, now: number): void {
		const known = this.#endpoints.get(id);
		if (known === undefined || (revision !== undefined && revision < known.record.revision)) {
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

	/** Ends the grace of lapsed entries that did not come back by `now` (steady ms). */
	removeExpired(now: number): void {
		for (const [id, known] of this.#endpoints) {
			if (known.expiresAt !== undefined && now >= known.expiresAt) {
				this.#endpoints.delete(id);
				this.#notify(known.record, 'removed');
			}
		}
	}

	/** The endpoint with this id if it takes new requests at `now` (steady ms). */
	lookUp(id: string, now: number): EndpointRecord | undefined {
		const known = this.#endpoints.get(id);
		return known === undefined || (known.expiresAt !== undefined && now >= known.expiresAt) ? undefined : known.record;
	}

	/** The endpoints of a service that take new requests at `now` (steady ms). */
	endpointsOf(service: string, now: number): readonly EndpointRecord[] {
		return [...this.#endpoints.values()]
			.filter(({record, expiresAt: lapsedUntil}) => record.service === service && (lapsedUntil === undefined || now < lapsedUntil))
			.map(({record}) => record);
	}

	/** All endpoints that take new requests. */
	get size(): number {
		return this.#endpoints.size;
	}

	/** The known records, to be told to a peer. */
	records(): readonly EndpointRecord[] {
		return [...this.#endpoints.values()].map(({record}) => record);
	}

	#notify(record: EndpointRecord, change: DirectoryChange['change']): void {
		for (const listener of this.#listeners) {
			listener({id: record.id, service: record.service, change});
		}
	}
}
