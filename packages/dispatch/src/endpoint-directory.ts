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
export type LeftEndpoint = {
	readonly id: string;
	readonly startedAt: number | undefined;
	/** Revision of the entry that told so. */
	readonly revision: number;
};

/** Time for lapsed entries to come back once the register is reachable again, in ms (bound of the platform's contract: about 2 s). */
export const LAPSE_GRACE_MS = 2000;

type Known = {record: EndpointRecord; lapsedUntil: number | undefined};

export class EndpointDirectory {
	/** Creates an empty directory. */
	static create(): EndpointDirectory {
		return new EndpointDirectory();
	}

	readonly #known = new Map<string, Known>();
	/** Processes seen leaving or removed; a late reading must not bring them back. */
	readonly #left = new Map<string, {startedAt: number | undefined; revision: number}>();
	readonly #listeners = new Set<(change: DirectoryChange) => void>();
	#outOfReach = false;
	#graceUntil = Number.NEGATIVE_INFINITY;

	/** Runs for each change; returns the teardown. */
	registerListener(listener: (change: DirectoryChange) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Whether the register answered last time. */
	get isInReach(): boolean {
		return !this.#outOfReach;
	}

	/** Processes seen leaving, to be told to a peer. */
	left(): readonly LeftEndpoint[] {
		return [...this.#left].map(([id, {startedAt, revision}]) => ({id, startedAt, revision}));
	}

	/** Takes what a peer saw leaving. */
	noteLeft({id, startedAt, revision}: LeftEndpoint): void {
		const former = this.#left.get(id);
		const known = this.#known.get(id);
		if ((former !== undefined && former.revision >= revision) || (known !== undefined && known.record.revision > revision)) {
			return;
		}

		this.#left.set(id, {startedAt, revision});
		if (known !== undefined) {
			this.#known.delete(id);
			this.#tell(known.record, 'leaving');
		}
	}

	/** Notes that the register cannot be read. */
	noteOutOfReach(): void {
		this.#outOfReach = true;
	}

	/** Notes that the register answered at `now` (steady ms). */
	noteInReach(now: number): void {
		if (this.#outOfReach) {
			this.#outOfReach = false;
			this.#graceUntil = now + LAPSE_GRACE_MS;
		}
	}

	/** Takes the whole register as read at `now` (steady ms). */
	replaceAll(records: readonly EndpointRecord[], now: number): void {
		const present = new Set(records.map(record => record.id));
		for (const record of records) {
			this.put(record);
		}

		for (const id of this.#known.keys()) {
			if (!present.has(id)) {
				this.remove(id, undefined, now);
			}
		}
	}

	/** Takes one entry. A revision below the one known is ignored. */
	put(record: EndpointRecord): void {
		const left = this.#left.get(record.id);
		if (left !== undefined && (record.revision <= left.revision || (left.startedAt !== undefined && left.startedAt === record.startedAt))) {
			return;
		}

		const known = this.#known.get(record.id);
		if (known !== undefined && record.revision < known.record.revision) {
			return;
		}

		if (record.isLeaving) {
			this.#left.set(record.id, {startedAt: record.startedAt, revision: record.revision});
			if (known !== undefined) {
				this.#known.delete(record.id);
				this.#tell(record, 'leaving');
			}

			return;
		}

		this.#left.delete(record.id);
		this.#known.set(record.id, {record, lapsedUntil: undefined});
		if (known === undefined) {
			this.#tell(record, 'added');
		} else if (known.record.startedAt !== record.startedAt) {
			this.#tell(record, 'restarted');
		} else if (known.lapsedUntil !== undefined) {
			this.#tell(record, 'returned');
		}
	}

	/** Takes the removal of an entry, read at `now` (steady ms). */
	remove(id: string, revision: number | undefined, now: number): void {
		const known = this.#known.get(id);
		if (known === undefined || (revision !== undefined && revision < known.record.revision)) {
			return;
		}

		if (now < this.#graceUntil) {
			if (known.lapsedUntil === undefined) {
				known.lapsedUntil = this.#graceUntil;
				this.#tell(known.record, 'lapsed');
			}

			return;
		}

		this.#known.delete(id);
		this.#tell(known.record, 'removed');
	}

	/** Ends the grace of lapsed entries that did not come back by `now` (steady ms). */
	expire(now: number): void {
		for (const [id, known] of this.#known) {
			if (known.lapsedUntil !== undefined && now >= known.lapsedUntil) {
				this.#known.delete(id);
				this.#tell(known.record, 'removed');
			}
		}
	}

	/** The endpoint with this id if it takes new requests at `now` (steady ms). */
	lookUp(id: string, now: number): EndpointRecord | undefined {
		const known = this.#known.get(id);
		return known === undefined || (known.lapsedUntil !== undefined && now >= known.lapsedUntil) ? undefined : known.record;
	}

	/** The endpoints of a service that take new requests at `now` (steady ms). */
	endpointsOf(service: string, now: number): readonly EndpointRecord[] {
		return [...this.#known.values()]
			.filter(({record, lapsedUntil}) => record.service === service && (lapsedUntil === undefined || now < lapsedUntil))
			.map(({record}) => record);
	}

	/** All endpoints that take new requests. */
	get size(): number {
		return this.#known.size;
	}

	/** The known records, to be told to a peer. */
	records(): readonly EndpointRecord[] {
		return [...this.#known.values()].map(({record}) => record);
	}

	#tell(record: EndpointRecord, change: DirectoryChange['change']): void {
		for (const listener of this.#listeners) {
			listener({id: record.id, service: record.service, change});
		}
	}
}
