/** The rules stored in the platform: the version in force, changes to it, and the versions that were replaced. */
import {z} from 'zod';
import type {Options} from './arguments.js';
import {
	CommandError, exitCodes, type CliContext, type ExitCode,
} from './context.js';
import {readKeyFile, readOrigin} from './input-file.js';
import {replaceControlCharacters} from './table.js';
import {PlatformClient} from '#object-api';
import type {Result} from '#core';
import {
	VersionedConfig, type ApplyResult, type ConfigReadFailure, type ConfigVersion, type ConfigWrite, type ObjectStore,
} from '#coordination';

const RULES_OBJECT_NAME = 'config/rules';
// Not under `config/`, so that watchers of the rules do not receive archived versions.
const ARCHIVE_PREFIX = 'history/rules/';
/** The platform's rules object keeps as many write ids. */
const MAX_ARCHIVED_VERSIONS = 32;
// Long enough for a platform restart, which takes seconds. Each attempt itself sends up to three copies.
const MAX_APPLY_ATTEMPTS = 5;
const APPLY_RETRY_DELAY_MS = 1000;

const archivedVersionSchema = z.object({version: z.number().int().positive(), text: z.string(), author: z.string()});

/** A change to the rules. */
export type RulesChange = {
	readonly text: string;
	readonly author: string;
	/** Version that the change replaces; undefined when there are no rules yet. */
	readonly base: ConfigVersion | undefined;
};

/** Reads and changes the rules in the platform for one command. */
export class RulesStore {
	static create(context: CliContext, store: ObjectStore): RulesStore {
		return new RulesStore(context, store);
	}

	readonly #context: CliContext;
	readonly #store: ObjectStore;

	private constructor(context: CliContext, store: ObjectStore) {
		this.#context = context;
		this.#store = store;
	}

	/**
	 * The version in force; undefined when there are no rules yet.
	 *
	 * @throws CommandError when it cannot be read.
	 */
	async readCurrent(): Promise<ConfigVersion | undefined> {
		return unwrapRead(await this.#config().refresh(this.#store, this.#context.now()));
	}

	/**
	 * The last accepted writes, oldest first.
	 *
	 * @throws CommandError when they cannot be read.
	 */
	async readHistory(): Promise<readonly ConfigWrite[]> {
		return unwrapRead(await this.#config().history(this.#store));
	}

	/**
	 * A replaced version; undefined when it is not archived.
	 *
	 * @throws CommandError when the read fails.
	 */
	async readArchivedVersion(version: number): Promise<ConfigVersion | undefined> {
		const result = await this.#store.read(`${ARCHIVE_PREFIX}${version}`);
		if (result.kind === 'failed') {
			return result.failure.kind === 'missing' ? undefined : unwrapRead(result);
		}

		return archivedVersionSchema.safeParse(result.value.value).data;
	}

	/** Applies a change, retries with the same write id while the outcome is unknown, and archives the replaced version. */
	async apply(change: RulesChange): Promise<ApplyResult> {
		const config = this.#config();
		const write = {
			writeId: this.#context.createId(),
			baseVersion: change.base?.version ?? 0,
			text: change.text,
			author: change.author,
			at: this.#context.now(),
		};
		let result = await config.apply(this.#store, write);
		for (let attempt = 1; result.kind === 'unresolved' && attempt < MAX_APPLY_ATTEMPTS; attempt += 1) {
			this.#context.writeStderr(`rules: no response from the platform (${describeFailure(result.failure).message}); retrying with the same write id\n`);

			await this.#context.delay(APPLY_RETRY_DELAY_MS);
			result = await config.apply(this.#store, write);
		}

		if (result.kind === 'accepted' && change.base !== undefined) {
			await this.#archive(change.base);
		}

		return result;
	}

	#config(): VersionedConfig {
		return VersionedConfig.create({name: RULES_OBJECT_NAME});
	}

	/** Archives a replaced version for `rules show --version` and removes the oldest one. A failure does not undo the change itself. */
	async #archive({version, text, author}: ConfigVersion): Promise<void> {
		const created = await this.#store.create(`${ARCHIVE_PREFIX}${version}`, {version, text, author});
		if (created.kind === 'failed' && created.failure.kind !== 'conflict') {
			this.#context.writeStderr(`rules: version ${version} could not be archived for "rules show": ${describeFailure(created.failure).message}\n`);
			return;
		}

		const expired = await this.#store.read(`${ARCHIVE_PREFIX}${version - MAX_ARCHIVED_VERSIONS}`);
		if (expired.kind === 'ok') {
			await this.#store.remove(expired.value.name, expired.value.resourceVersion);
		}
	}
}

/** Runs a command with a store for the rules in the platform and closes its connections afterwards. */
export async function withRulesStore(context: CliContext, options: Options, run: (store: RulesStore, platform: PlatformClient) => Promise<ExitCode>): Promise<ExitCode> {
	const platform = PlatformClient.create({url: readOrigin(options, 'platform'), key: readKeyFile(context, options, 'platform-key-file')});
	try {
		return await run(RulesStore.create(context, platform), platform);
	} finally {
		await platform.close();
	}
}

/** Message and exit code for a failed call to the platform. */
export function describeFailure(failure: ConfigReadFailure): {readonly exitCode: ExitCode; readonly message: string} {
	switch (failure.kind) {
		case 'unavailable': {
			return {exitCode: exitCodes.unreachable, message: `the platform cannot be reached${failure.reason === undefined ? '' : ` (${replaceControlCharacters(failure.reason)})`}`};
		}

		case 'too-large': {
			return {exitCode: exitCodes.failed, message: 'the platform refused the rules as larger than 1 MB in JSON'};
		}

		case 'over-budget': {
			return {exitCode: exitCodes.failed, message: 'the call budget of this command is exhausted'};
		}

		case 'invalid': {
			return {exitCode: exitCodes.failed, message: `the platform's rules object is not valid: ${replaceControlCharacters(failure.reason)}`};
		}

		case 'conflict':
		case 'missing': {
			return {exitCode: exitCodes.failed, message: `the object in the platform was changed concurrently (${failure.kind})`};
		}
	}
}

function unwrapRead<Value>(result: Result<Value, ConfigReadFailure>): Value {
	if (result.kind === 'ok') {
		return result.value;
	}

	const {exitCode, message} = describeFailure(result.failure);
	throw CommandError.create(exitCode, `rules: ${message}`);
}
