/**
 * The directory of machines: the platform's lagging list, overlaid with what machines
 * said of themselves. The list decides in the end; an announcement bridges its lag and
 * its outages.
 */
import {type Machine} from './machine.js';

/** An announcement that the list has not confirmed is forgotten after this time. */
const ANNOUNCEMENT_LIFE_MS = 10 * 60 * 1000;

type Announcement = {
	readonly machine: Machine;
	readonly incarnation: string;
	readonly heardAt: number;
};

/** An immutable directory; each change returns a new one, or the same if nothing changed. */
export class Directory {
	static create(): Directory {
		return new Directory(0, new Map(), new Map());
	}

	/** Version of the platform's list that this directory holds; 0 before the first. */
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
			// A machine that says it leaves is leaving, whatever the list still says.
			const seen = merged.get(id);
			merged.set(id, seen?.state === 'leaving' ? seen : machine);
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

	/** Ids of the entries that are live, sorted. */
	get entryIds(): readonly string[] {
		return this.#entryIds;
	}

	get(id: string): Machine | undefined {
		return this.#machines.get(id);
	}

	/** Machines of a group in the order of their first rank. */
	groupMembers(group: string): readonly Machine[] {
		return this.machines
			.filter(machine => machine.group === group && machine.role === 'endpoint')
			.toSorted((a, b) => (a.ranks?.[0] ?? 0) - (b.ranks?.[0] ?? 0));
	}

	/**
	 * Takes in the platform's list.
	 *
	 * @param version - Version of the list; an older list than the one held changes nothing.
	 */
	withList(version: number, machines: readonly Machine[], now: number): Directory {
		if (version <= this.version) {
			return this;
		}

		const listed = new Map(machines.map(machine => [machine.id, machine]));
		const kept = [...this.#announced].filter(([id, {machine, heardAt}]) => {
			const confirmed = listed.get(id)?.address === machine.address && listed.get(id)?.state === machine.state;
			return !confirmed && now - heardAt < ANNOUNCEMENT_LIFE_MS;
		});
		return new Directory(version, listed, new Map(kept));
	}

	/**
	 * Takes in what a machine says of itself.
	 *
	 * @param incarnation - Changes each time the machine's process starts.
	 */
	withAnnouncement(machine: Machine, incarnation: string, now: number): Directory {
		const seen = this.#announced.get(machine.id);
		const listed = this.#listed.get(machine.id);
		const known = seen?.incarnation === incarnation && seen.machine.state === machine.state;
		const listedSame = seen === undefined && listed?.address === machine.address && listed.state === machine.state;
		if (known || listedSame) {
			return this;
		}

		const announced = new Map(this.#announced);
		announced.set(machine.id, {machine, incarnation, heardAt: now});
		return new Directory(this.version, this.#listed, announced);
	}

	/** Forgets what a machine said of itself, for example when its link was lost and it cannot be dialled. */
	withoutAnnouncement(id: string): Directory {
		if (!this.#announced.has(id)) {
			return this;
		}

		const announced = new Map(this.#announced);
		announced.delete(id);
		return new Directory(this.version, this.#listed, announced);
	}

	/** The platform's list as it was taken in. */
	get listed(): readonly Machine[] {
		return [...this.#listed.values()];
	}
}
