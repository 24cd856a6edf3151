/** Conditional update of the stored configuration by an operator. */
import {writeConditionally} from './conditional-write.js';
import {
	loadConfig, storedConfigSchema, type ConfigReadFailure, type ConfigVersion, type ConfigWrite, type LoadedConfig, type StoredConfig,
} from './config-types.js';
import type {CallOptions, ObjectStore} from './object-store.js';

/** A change of the configuration. */
export type ConfigChange = {
	/** Unique id of the change; applying the same change again has no further effect. */
	readonly writeId: string;
	/** Version that the author based the change on, 0 if there was none. */
	readonly baseVersion: number;
	readonly text: string;
	readonly author: string;
	/** Time of the author's clock in ms; stored in the history. */
	readonly at: number;
};

/**
 * Result of applying a change.
 *
 * - `accepted`: it created `version`; later versions may exist already.
 * - `conflict`: it was certainly not accepted. `current` is the stored version (undefined if there is
 *   none), and `changes` are the known writes since the author's base version, oldest first.
 * - `not-accepted`: it was certainly not accepted, and the store could not be read.
 * - `unresolved`: it may have been accepted or may still be; apply the same change again to find out.
 */
export type ApplyResult
	= | {readonly kind: 'accepted'; readonly version: number}
		| {readonly kind: 'conflict'; readonly current: ConfigVersion | undefined; readonly changes: readonly ConfigWrite[]}
		| {readonly kind: 'not-accepted'; readonly failure: ConfigReadFailure}
		| {readonly kind: 'unresolved'; readonly writeId: string; readonly failure: ConfigReadFailure};

/** Limit on the writes stored with the configuration; a change whose response was lost is looked up among them. */
export const MAX_STORED_WRITES = 32;

/** Store, object and options of applying a change. */
export type ApplyContext = {
	readonly store: ObjectStore;
	/** Name of the configuration object. */
	readonly name: string;
	/** True if the same change was sent before without a definite result; it is then unresolved if the store cannot be read. */
	readonly isRepeat: boolean;
	readonly options: CallOptions | undefined;
};

/** Applies a change if the stored version is still its base version, and resolves lost responses. */
export async function applyConfig(context: ApplyContext, change: ConfigChange): Promise<ApplyResult> {
	const loaded = await loadConfig(context.store, context.name, context.options);
	return loaded.kind === 'failed'
		? resultWithoutRead(context, change, loaded.failure)
		: checkChange(change, loaded.value) ?? sendChange(context, change, loaded.value);
}

/** Result if nothing was sent in this call and the store cannot be read. */
function resultWithoutRead({isRepeat}: ApplyContext, {writeId}: ConfigChange, failure: ConfigReadFailure): ApplyResult {
	return isRepeat ? {kind: 'unresolved', writeId, failure} : {kind: 'not-accepted', failure};
}

/** Result of a change according to the stored configuration; undefined if the change can still be written. */
function checkChange(change: ConfigChange, loaded: LoadedConfig): ApplyResult | undefined {
	const config = loaded?.config;
	const accepted = config?.writes.find(write => write.writeId === change.writeId);
	if (accepted !== undefined) {
		return {kind: 'accepted', version: accepted.version};
	}

	if ((config?.version ?? 0) === change.baseVersion) {
		return undefined;
	}

	const changes = config?.writes.filter(write => write.version > change.baseVersion) ?? [];
	const next = change.baseVersion + 1;
	// An accepted change would have created the version after its base; once that write is dropped from the history, its acceptance cannot be determined.
	if (config !== undefined && config.version > change.baseVersion && changes[0]?.version !== next) {
		return {
			kind: 'unresolved', writeId: change.writeId, failure: {kind: 'invalid', reason: `the write of version ${next} is no longer stored`},
		};
	}

	return {kind: 'conflict', current: config && toConfigVersion(config), changes};
}

async function sendChange(context: ApplyContext, change: ConfigChange, loaded: LoadedConfig): Promise<ApplyResult> {
	const result = await writeConditionally({
		store: context.store,
		name: context.name,
		baseVersion: loaded?.resourceVersion,
		value: createNextConfig(loaded?.config, change),
		isWritten: value => storedConfigSchema.safeParse(value).data?.writes.some(write => write.writeId === change.writeId) ?? false,
		options: context.options,
	});
	switch (result.kind) {
		case 'accepted': {
			return {kind: 'accepted', version: change.baseVersion + 1};
		}

		case 'conflict': {
			return resolveConflict(change, result.current);
		}

		case 'refused': {
			return resultWithoutRead(context, change, result.failure);
		}

		case 'unresolved': {
			return {kind: 'unresolved', writeId: change.writeId, failure: result.failure};
		}
	}
}

function resolveConflict(change: ConfigChange, current: {readonly resourceVersion: string; readonly value: unknown} | undefined): ApplyResult {
	if (current === undefined) {
		return {kind: 'conflict', current: undefined, changes: []};
	}

	const parsed = storedConfigSchema.safeParse(current.value);
	if (!parsed.success) {
		return {kind: 'not-accepted', failure: {kind: 'invalid', reason: 'the stored configuration does not match the schema'}};
	}

	// The same version with another resource version was written manually; it conflicts as well.
	return checkChange(change, {resourceVersion: current.resourceVersion, config: parsed.data})
		?? {kind: 'conflict', current: toConfigVersion(parsed.data), changes: []};
}

function createNextConfig(prev: StoredConfig | undefined, {writeId, text, author, at, baseVersion}: ConfigChange): StoredConfig {
	const version = baseVersion + 1;
	const write: ConfigWrite = {
		writeId, version, author, at,
	};
	return {
		version, text, author, writes: [...prev?.writes ?? [], write].slice(-MAX_STORED_WRITES),
	};
}

function toConfigVersion({version, text, author}: StoredConfig): ConfigVersion {
	return {version, text, author};
}
