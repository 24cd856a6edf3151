/** Instances list of the platform stand-in, which lags behind the registrations. */
import {z} from 'zod';

/** Schema of one instance, as registered and returned. */
export const instanceSchema = z.object({
	id: z.string().min(1),
	role: z.string(),
	kind: z.string(),
	address: z.string(),
	zone: z.string(),
	region: z.string(),
	group: z.string().optional(),
	ranks: z.array(z.number().int().nonnegative()).optional(),
	models: z.array(z.string()).optional(),
	service: z.string().optional(),
	state: z.enum(['live', 'leaving']).default('live'),
});

export type InstanceRecord = z.infer<typeof instanceSchema>;

type Registration = {readonly at: number; readonly id: string; readonly instance: InstanceRecord | undefined};

/** List in which registrations become visible after `lagMs`. */
export class InstanceList {
	/** Creates an empty list with a lag in ms. */
	static create(lagMs: number): InstanceList {
		return new InstanceList(lagMs);
	}

	readonly #lagMs: number;
	readonly #visible = new Map<string, InstanceRecord>();
	#pending: Registration[] = [];
	#revision = 0;

	private constructor(lagMs: number) {
		this.#lagMs = lagMs;
	}

	/** Registers or replaces an instance at `now` (ms). */
	put(instance: InstanceRecord, now: number): void {
		this.#pending.push({at: now, id: instance.id, instance});
	}

	/** Removes an instance at `now` (ms). */
	remove(id: string, now: number): void {
		this.#pending.push({at: now, id, instance: undefined});
	}

	/** Visible instances at `now` (ms), sorted by id, and a version that increases with each visible change. */
	visible(now: number): {readonly resourceVersion: string; readonly items: readonly InstanceRecord[]} {
		const due = this.#pending.filter(registration => registration.at + this.#lagMs <= now);
		this.#pending = this.#pending.filter(registration => registration.at + this.#lagMs > now);
		this.#revision += due.length;
		for (const {id, instance} of due) {
			if (instance === undefined) {
				this.#visible.delete(id);
			} else {
				this.#visible.set(id, instance);
			}
		}

		return {
			resourceVersion: String(this.#revision + 1),
			items: [...this.#visible.values()].toSorted((a, b) => a.id < b.id ? -1 : 1),
		};
	}
}
