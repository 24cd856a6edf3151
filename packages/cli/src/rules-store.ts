/** The rules in the platform: the version in force, changes to it, and the versions that it replaced. */
import {z} from 'zod';
import type {Options} from './arguments.js';
import {
	CommandEnd, exitCodes, type CliContext, type ExitCode,
} from './context.js';
import {readKey, readOrigin} from './input-file.js';
import {toPlain} from './table.js';
import {PlatformClient} from '#object-api';
import type {Result} from '#core';
import {
	VersionedConfig, type ApplyResult, type ConfigReadFailure, type ConfigVersion, type ConfigWrite, type ObjectStore,
} from '#coordination';

const RULES_NAME = 'config/rules';
// Outside `config/`, so that watchers of the rules do not receive replaced versions.
const ARCHIVE_PREFIX = 'history/rules/';
/** As many replaced versions are kept as the platform's rules object keeps write ids. */
const ARCHIVED_VERSIONS = 32;
// A platform that restarts is back within seconds; each attempt itself sends up to three copies.
const RESOLVE_ATTEMPTS = 5;
const RESOLVE_DELAY_MS = 1000;

const archiveSchema = z.object({version: z.number().int().positive(), text: z.string(), author: z.string()});

/** A change to the rules. */
export type RulesChange = {
	readonly text: string;
	readonly author: string;
	/** Version that it replaces; undefined when there are no rules yet. */
	readonly base: ConfigVersion | undefined;
};

/** Access to the rules in the platform for one command. */
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

	/** The version in force; undefined when there are no rules yet. Ends the command when it cannot be read. */
	async current(): Promise<ConfigVersion | undefined> {
		return acceptRead(await this.#config().refresh(this.#store, this.#context.now()));
	}

	/** The last accepted writes, oldest first. */
	async history(): Promise<readonly ConfigWrite[]> {
		return acceptRead(await this.#config().history(this.#store));
	}

	/** A version that was replaced; undefined when it is not kept. */
	async archived(version: number): Promise<ConfigVersion | undefined> {
		const found = await this.#store.read(`${ARCHIVE_PREFIX}${version}`);
		if (found.kind === 'failed') {
			return found.failure.kind === 'missing' ? undefined : acceptRead(found);
		}

		return archiveSchema.safeParse(found.value.value).data;
	}

	/** Applies a change, asks again while its outcome is unknown, and archives the version that it replaced. */
	async apply(change: RulesChange): Promise<ApplyResult> {
		const config = this.#config();
		const stored = {
			writeId: this.#context.createId(),
			baseVersion: change.base?.version ?? 0,
			text: change.text,
			author: change.author,
			at: this.#context.now(),
		};
		let answer = await config.apply(this.#store, stored);
		for (let attempt = 1; answer.kind === 'unresolved' && attempt < RESOLVE_ATTEMPTS; attempt += 1) {
			this.#context.tell(`rules: no answer from the platform (${describeFailure(answer.failure).message}); asking again with the same write id\n`);

			await this.#context.delay(RESOLVE_DELAY_MS);
			answer = await config.apply(this.#store, stored);
		}

		if (answer.kind === 'accepted' && change.base !== undefined) {
			await this.#archive(change.base);
		}

		return answer;
	}

	#config(): VersionedConfig {
		return VersionedConfig.create({name: RULES_NAME});
	}

	/** Keeps a replaced version for `rules show --version` and drops the oldest one. The change itself stands either way. */
	async #archive({version, text, author}: ConfigVersion): Promise<void> {
		const created = await this.#store.create(`${ARCHIVE_PREFIX}${version}`, {version, text, author});
		if (created.kind === 'failed' && created.failure.kind !== 'conflict') {
			this.#context.tell(`rules: version ${version} could not be kept for "rules show": ${describeFailure(created.failure).message}\n`);
			return;
		}

		const expired = await this.#store.read(`${ARCHIVE_PREFIX}${version - ARCHIVED_VERSIONS}`);
		if (expired.kind === 'ok') {
			await this.#store.remove(expired.value.name, expired.value.resourceVersion);
		}
	}
}

/** Runs a command with access to the rules in the platform and closes the connections afterwards. */
export async function withRulesStore(context: CliContext, options: Options, run: (store: RulesStore, platform: PlatformClient) => Promise<ExitCode>): Promise<ExitCode> {
	const platform = PlatformClient.create({url: readOrigin(options, 'platform'), key: readKey(context, options, 'platform-key-file')});
	try {
		return await run(RulesStore.create(context, platform), platform);
	} finally {
		await platform.close();
	}
}

/** Text and exit code for a failed call to the platform. */
export function describeFailure(failure: ConfigReadFailure): {readonly exitCode: ExitCode; readonly message: string} {
	switch (failure.kind) {
		case 'unavailable': {
			return {exitCode: exitCodes.unreachable, message: `the platform cannot be reached${failure.reason === undefined ? '' : ` (${toPlain(failure.reason)})`}`};
		}

		case 'too-large': {
			return {exitCode: exitCodes.failed, message: 'the platform refused the rules as larger than 1 MB in JSON'};
		}

		case 'over-budget': {
			return {exitCode: exitCodes.failed, message: 'the call budget of this command is spent'};
		}

		case 'invalid': {
			return {exitCode: exitCodes.failed, message: `the platform's rules object is not valid: ${toPlain(failure.reason)}`};
		}

		case 'conflict':
		case 'missing': {
			return {exitCode: exitCodes.failed, message: `the platform's object was changed meanwhile (${failure.kind})`};
		}
	}
}

function acceptRead<Value>(result: Result<Value, ConfigReadFailure>): Value {
	if (result.kind === 'ok') {
		return result.value;
	}

	const {exitCode, message} = describeFailure(result.failure);
	throw CommandEnd.create(exitCode, `rules: ${message}`);
}
