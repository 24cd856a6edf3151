/**
 * The directory of machines: the platform's list, which may be delayed, overlaid with the announcements of
 * the machines themselves. The list is authoritative in the long run; announcements cover its delay and
 * the platform's outages.
 */
import {type Machine} from './machine.js';

/** An announcement that the list does not confirm expires after this time. */
const ANNOUNCEMENT_TTL_MS = 10 * 60 * 1000;

type Announcement = {
	readonly machine: Machine;
	readonly incarnation: string;
	readonly receivedAt: number;
};

/** Immutable directory. Each change returns a new directory, or the same one if nothing changed. */
export class Directory {
	static create(): Directory {
		return new Directory(0, new Map(), new Map());
	}

	/** Version of the platform's list; 0 before the first list. */
	readonly version: number;
	readonly #listed: ReadonlyMap<string, Machine>;
	readonly #announced: ReadonlyMap<string, Announcement>;
	readonly #machines: ReadonlyMap<string, Machine>;
	readonly #entryIds: readonly string[];

	private constructor(version: number, listed: ReadonlyMap<string, Machine>, announced: ReadonlyMap<string, Announcement>) {
		this.version = version;
		this.#listed = listed;
		this.#announced = announced;
		const merged = new Map(listed);
		for (const [id, {machine}] of announced) {
			// A machine is leaving if either the list or its announcement says so.
			const announcedBefore = merged.get(id);
			merged.set(id, announcedBefore?.state === 'leaving' ? announcedBefore : machine);
		}

		this.#machines = merged;
		this.#entryIds = [...merged.values()]
			.filter(machine => machine.role === 'entry' && machine.state === 'live')
			.map(machine => machine.id)
			.toSorted();
	}

	/** All known machines. */
	get machines(): readonly Machine[] {
		return [...this.#machines.values()];
	}

	/** Sorted ids of the live entries. */
	get entryIds(): readonly string[] {
		return this.#entryIds;
	}

	get(id: string): Machine | undefined {
		return this.#machines.get(id);
	}

	/** Endpoints of a group, ordered by their first rank. */
	groupMembers(group: string): readonly Machine[] {
		return this.machines
			.filter(machine => machine.group === group && machine.role === 'endpoint')
			.toSorted((a, b) => (a.ranks?.[0] ?? 0) - (b.ranks?.[0] ?? 0));
	}

	/**
	 * Replaces the platform's list.
	 *
	 * @param version - Version of the list. A list that is not newer than the current one changes nothing.
	 */
	withList(version: number, machines: readonly Machine[], now: number): Directory {
		if (version <= this.version) {
			return this;
		}

		const listed = new Map(machines.map(machine => [machine.id, machine]));
		const unconfirmed = [...this.#announced].filter(([id, {machine, receivedAt}]) => {
			const isConfirmed = listed.get(id)?.address === machine.address && listed.get(id)?.state === machine.state;
			return !isConfirmed && now - receivedAt < ANNOUNCEMENT_TTL_MS;
		});
		return new Directory(version, listed, new Map(unconfirmed));
	}

	/**
	 * Records the announcement of a machine.
	 *
	 * @param incarnation - Id of the machine's process; changes with each start.
	 */
	withAnnouncement(machine: Machine, incarnation: string, now: number): Directory {
		const announcement = this.#announced.get(machine.id);
		const listed = this.#listed.get(machine.id);
		const isKnown = announcement?.incarnation === incarnation && announcement.machine.state === machine.state;
		const isListed = announcement === undefined && listed?.address === machine.address && listed.state === machine.state;
		if (isKnown || isListed) {
			return this;
		}

		const announced = new Map(this.#announced);
		announced.set(machine.id, {machine, incarnation, receivedAt: now});
		return new Directory(this.version, this.#listed, announced);
	}

	/** Removes the announcement of a machine, for example when its link was lost and it cannot be dialled. */
	withoutAnnouncement(id: string): Directory {
		if (!this.#announced.has(id)) {
			return this;
		}

		const announced = new Map(this.#announced);
		announced.delete(id);
		return new Directory(this.version, this.#listed, announced);
	}

	/** Machines in the platform's list, without announcements. */
	get listed(): readonly Machine[] {
		return [...this.#listed.values()];
	}
}
