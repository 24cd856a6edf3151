/** Stores the record of a group's expert map in a platform object, and reads the fencing token of the group's lease. */
import {z} from 'zod';
import {writeConditionally, type ObjectStore} from '#coordination';
import {type MapRecord, type RecordResult} from '#expertmap';

const versionedMapSchema = z.object({version: z.number().int().nonnegative(), map: z.object({slots: z.array(z.array(z.array(z.number().int().nonnegative())))})});
const recordSchema = z.object({
	installed: versionedMapSchema, planned: versionedMapSchema.exactOptional(), highest: z.number().int().nonnegative(), fence: z.number().int().nonnegative(), writeId: z.string(),
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
	 * Reads the record, or creates an initial one for a group that has none.
	 *
	 * @param mapVersion - Map version of the engine, used for an initial record, whose map content is unknown.
	 * @returns Undefined if the platform does not respond or the object is invalid.
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

	/** Writes the record unless it was changed by another process since it was loaded. */
	async write(record: MapRecord): Promise<RecordResult> {
		const writeId = this.#createId();
		const result = await writeConditionally({
			store: this.#store,
			name: this.#name,
			baseVersion: this.#version,
			value: {...record, writeId},
			isWritten: value => recordSchema.safeParse(value).data?.writeId === writeId,
		});
		switch (result.kind) {
			case 'accepted': {
				this.#version = result.current.resourceVersion;
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

	/** Fencing token of a lease object; 0 if there is none yet, undefined if the platform does not respond or the object is invalid. */
	async readFence(leaseName: string): Promise<number | undefined> {
		const read = await this.#store.read(leaseName);
		if (read.kind === 'failed') {
			return read.failure.kind === 'missing' ? 0 : undefined;
		}

		return leaseSchema.safeParse(read.value.value).data?.fence;
	}
}
