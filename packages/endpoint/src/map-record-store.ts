/** The platform's object that records a group's map, and the fence of its lease. */
import {z} from 'zod';
import {writeConditionally, type ObjectStore} from '#coordination';
import {type MapRecord, type RecordOutcome} from '#expertmap';

const mapSchema = z.object({version: z.number().int().nonnegative(), map: z.object({slots: z.array(z.array(z.array(z.number().int().nonnegative())))})});
const recordSchema = z.object({
	installed: mapSchema, planned: mapSchema.exactOptional(), highest: z.number().int().nonnegative(), fence: z.number().int().nonnegative(), writeId: z.string(),
});
const leaseSchema = z.object({fence: z.number().int().nonnegative()});

export class MapRecordStore {
	/** @param name - Name of the object, `groups/NAME/map`. */
	static create(store: ObjectStore, name: string, createId: () => string): MapRecordStore {
		return new MapRecordStore(store, name, createId);
	}

	readonly #store: ObjectStore;
	readonly #name: string;
	readonly #createId: () => string;
	#version: string | undefined;

	private constructor(store: ObjectStore, name: string, createId: () => string) {
		this.#store = store;
		this.#name = name;
		this.#createId = createId;
	}

	/**
	 * Reads the record, or begins one for a group that has none.
	 *
	 * @param mapVersion - Version that the engine uses; the map's content is not known then.
	 * @returns Undefined if the platform does not answer or the object has another shape.
	 */
	async load(mapVersion: number): Promise<MapRecord | undefined> {
		const read = await this.#store.read(this.#name);
		if (read.kind === 'failed') {
			this.#version = undefined;
			return read.failure.kind === 'missing' ? {installed: {version: mapVersion, map: {slots: []}}, highest: mapVersion, fence: 0} : undefined;
		}

		const parsed = recordSchema.safeParse(read.value.value);
		if (!parsed.success) {
			return undefined;
		}

		this.#version = read.value.resourceVersion;
		const {installed, planned, highest, fence} = parsed.data;
		return planned === undefined
			? {installed, highest, fence}
			: {
				installed, planned, highest, fence,
			};
	}

	/** Writes the record if nobody else has since it was loaded. */
	async write(record: MapRecord): Promise<RecordOutcome> {
		const writeId = this.#createId();
		const answer = await writeConditionally({
			store: this.#store,
			name: this.#name,
			baseVersion: this.#version,
			value: {...record, writeId},
			isWritten: value => recordSchema.safeParse(value).data?.writeId === writeId,
		});
		switch (answer.kind) {
			case 'accepted': {
				this.#version = answer.current.resourceVersion;
				return 'done';
			}

			case 'conflict': {
				return 'conflict';
			}

			case 'refused':
			case 'unresolved': {
				return 'unavailable';
			}
		}
	}

	/** Fencing number of a lease object; 0 if there is none yet, undefined if the platform does not answer. */
	async readFence(leaseName: string): Promise<number | undefined> {
		const read = await this.#store.read(leaseName);
		if (read.kind === 'failed') {
			return read.failure.kind === 'missing' ? 0 : undefined;
		}

		return leaseSchema.safeParse(read.value.value).data?.fence;
	}
}
