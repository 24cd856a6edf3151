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
	/** Version that the author saw, 0 if there was none. */
	readonly baseVersion: number;
	readonly text: string;
	readonly author: string;
	/** Time of the author's clock in ms; kept for the history. */
	readonly at: number;
};

/**
 * What became of a change.
 *
 * - `accepted`: it made `version`; later versions may exist already.
 * - `conflict`: it is certainly not accepted. `current` is in force instead (undefined if there is
 *   none), and `changes` are the known writes since the author's base version, oldest first.
 * - `not-accepted`: it is certainly not accepted, and the store could not be read.
 * - `unresolved`: it may have been accepted or may still be; apply the same change again to find out.
 */
export type ApplyResult
	= | {readonly kind: 'accepted'; readonly version: number}
		| {readonly kind: 'conflict'; readonly current: ConfigVersion | undefined; readonly changes: readonly ConfigWrite[]}
		| {readonly kind: 'not-accepted'; readonly failure: ConfigReadFailure}
		| {readonly kind: 'unresolved'; readonly writeId: string; readonly failure: ConfigReadFailure};

/** Writes kept with the configuration, by which a lost answer is resolved. */
export const MAX_STORED_WRITES = 32;

/** Where and how a change is applied. */
export type ApplyContext = {
	readonly store: ObjectStore;
	/** Name of the configuration object. */
	readonly name: string;
	/** True if the same change was sent before without a definite answer; a store that cannot be read then leaves it unresolved. */
	readonly isRepeat: boolean;
	readonly options: CallOptions | undefined;
};

/** Applies a change if the stored version is still its base version, and resolves lost answers. */
export async function applyConfig(context: ApplyContext, change: ConfigChange): Promise<ApplyResult> {
	const loaded = await loadConfig(context.store, context.name, context.options);
	return loaded.kind === 'failed'
		? withoutAnswer(context, change, loaded.failure)
		: judgeChange(change, loaded.value) ?? sendChange(context, change, loaded.value);
}

/** Answer when nothing was sent now and the store cannot be read. */
function withoutAnswer({isRepeat}: ApplyContext, {writeId}: ConfigChange, failure: ConfigReadFailure): ApplyResult {
	return isRepeat ? {kind: 'unresolved', writeId, failure} : {kind: 'not-accepted', failure};
}

/** Decides on a change from what is stored; undefined if it can still be written. */
function judgeChange(change: ConfigChange, loaded: LoadedConfig): ApplyResult | undefined {
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
	// An accepted change would have made the version after its base; once that write is no longer kept, nobody can tell.
	if (config !== undefined && config.version > change.baseVersion && changes[0]?.version !== next) {
		return {
			kind: 'unresolved', writeId: change.writeId, failure: {kind: 'invalid', reason: `the write of version ${next} is no longer kept`},
		};
	}

	return {kind: 'conflict', current: config && toVersion(config), changes};
}

async function sendChange(context: ApplyContext, change: ConfigChange, loaded: LoadedConfig): Promise<ApplyResult> {
	const answer = await writeConditionally({
		store: context.store,
		name: context.name,
		baseVersion: loaded?.resourceVersion,
		value: changeConfig(loaded?.config, change),
		isWritten: value => storedConfigSchema.safeParse(value).data?.writes.some(write => write.writeId === change.writeId) ?? false,
		options: context.options,
	});
	switch (answer.kind) {
		case 'accepted': {
			return {kind: 'accepted', version: change.baseVersion + 1};
		}

		case 'conflict': {
			return judgeConflict(change, answer.current);
		}

		case 'refused': {
			return withoutAnswer(context, change, answer.failure);
		}

		case 'unresolved': {
			return {kind: 'unresolved', writeId: change.writeId, failure: answer.failure};
		}
	}
}

function judgeConflict(change: ConfigChange, current: {readonly resourceVersion: string; readonly value: unknown} | undefined): ApplyResult {
	if (current === undefined) {
		return {kind: 'conflict', current: undefined, changes: []};
	}

	const parsed = storedConfigSchema.safeParse(current.value);
	if (!parsed.success) {
		return {kind: 'not-accepted', failure: {kind: 'invalid', reason: 'the stored configuration has another shape'}};
	}

	// The same version under another resource version was written by hand; it conflicts as well.
	return judgeChange(change, {resourceVersion: current.resourceVersion, config: parsed.data})
		?? {kind: 'conflict', current: toVersion(parsed.data), changes: []};
}

function changeConfig(prev: StoredConfig | undefined, {writeId, text, author, at, baseVersion}: ConfigChange): StoredConfig {
	const version = baseVersion + 1;
	const write: ConfigWrite = {
		writeId, version, author, at,
	};
	return {
		version, text, author, writes: [...prev?.writes ?? [], write].slice(-MAX_STORED_WRITES),
	};
}

function toVersion({version, text, author}: StoredConfig): ConfigVersion {
	return {version, text, author};
}
