/** Types and schemas of the versioned configuration, as stored and as sent between processes. */
import {z} from 'zod';
import type {CallOptions, ObjectStore, StoreFailure} from './object-store.js';
import {failed, ok, type Result} from '#core';

/** One accepted write, as stored with the configuration. */
const writeSchema = z.object({
	writeId: z.string().min(1),
	version: z.number().int().positive(),
	author: z.string(),
	/** Time of the author's clock in ms. */
	at: z.number(),
});

/** Stored value of the configuration object. */
export const storedConfigSchema = z.object({
	version: z.number().int().positive(),
	text: z.string(),
	author: z.string(),
	/** The last writes, newest last. */
	writes: z.array(writeSchema),
});

/** One accepted write: its id, the version it created, its author and the time of the author's clock in ms. */
export type ConfigWrite = Readonly<z.infer<typeof writeSchema>>;

/** Configuration of one version. The version starts at 1 and increases by one with each accepted write. */
export type ConfigVersion = {
	readonly version: number;
	readonly text: string;
	readonly author: string;
};

/** Configuration as stored, with its last 32 writes, newest last. */
export type StoredConfig = ConfigVersion & {readonly writes: readonly ConfigWrite[]};

/** Reason that a configuration could not be read. `invalid`: the stored object does not match the schema. */
export type ConfigReadFailure = StoreFailure | {readonly kind: 'invalid'; readonly reason: string};

/** The stored object with its resource version; undefined if there is none yet. */
export type LoadedConfig = {readonly resourceVersion: string; readonly config: StoredConfig} | undefined;

/** Reads the configuration object from the store. */
export async function loadConfig(store: ObjectStore, name: string, options?: CallOptions): Promise<Result<LoadedConfig, ConfigReadFailure>> {
	const found = await store.read(name, options);
	if (found.kind === 'failed') {
		return found.failure.kind === 'missing' ? ok(undefined) : found;
	}

	const parsed = storedConfigSchema.safeParse(found.value.value);
	return parsed.success
		? ok({resourceVersion: found.value.resourceVersion, config: parsed.data})
		: failed({kind: 'invalid', reason: z.prettifyError(parsed.error)});
}
