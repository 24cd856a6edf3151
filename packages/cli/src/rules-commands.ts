/** `rules check`, `diff`, `apply`, `show` and `history`. */
import {usageError, type Options} from './arguments.js';
import {
	CommandError, exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {EntryClient} from './entry-client.js';
import {readRulesFile} from './input-file.js';
import {
	diffRulesTexts, diffToJson, formatDiff, formatHistory, reportConflict, reportFailure,
} from './rules-report.js';
import {withRulesStore, type RulesStore} from './rules-store.js';
import {waitForVersion} from './wait.js';
import {isValidAuthor, isEmptyDiff, parseRules} from '#rules';

const MAX_VERSION = 1e12;
const MAX_WAIT_SECONDS = 3600;
const DEFAULT_WAIT_SECONDS = 30;

/** Checks a file locally, without a call to the platform. */
export function checkRules(context: CliContext, file: string, options: Options): ExitCode {
	const {rules} = readRulesFile(context, file, options.has('json'));
	if (options.has('json')) {
		printJson(context, {outcome: 'ok', rules: rules.rules.length, findings: []});
	} else {
		context.writeStdout(`${file}: ${rules.rules.length} rules, no findings\n`);
	}

	return exitCodes.done;
}

/** Compares a file with the rules in force. */
export async function diffRulesFile(context: CliContext, file: string, options: Options): Promise<ExitCode> {
	const json = options.has('json');
	const {text} = readRulesFile(context, file, json);
	return withRulesStore(context, options, async store => {
		const current = await store.readCurrent();
		const diff = diffRulesTexts(current?.text ?? '', text);
		if (json) {
			printJson(context, {version: current?.version ?? 0, diff: diffToJson(diff)});
		} else {
			context.writeStderr(`rules: compared with ${describeVersion(current)}\n`);
			context.writeStdout(formatDiff(diff));
		}

		return exitCodes.done;
	});
}

/** Puts a file in force unless the rules were changed concurrently. */
export async function applyRules(context: CliContext, file: string, options: Options): Promise<ExitCode> {
	const json = options.has('json');
	const author = readAuthor(options);
	const expected = options.getInteger('expect', MAX_VERSION, 0);
	const waitOptions = readWaitOptions(context, options);
	const {text} = readRulesFile(context, file, json);
	try {
		return await withRulesStore(context, options, async store => {
			const result = await applyRulesText(context, store, {
				text, author, expected, json,
			});
			return waitOptions === undefined || typeof result !== 'object'
				? resultToExitCode(result)
				: waitForVersion(context, waitOptions.entry, {version: result.version, timeoutMs: waitOptions.seconds * 1000});
		});
	} finally {
		await waitOptions?.entry.close();
	}
}

/** Prints the text of the rules in force or of an archived version. */
export async function showRules(context: CliContext, options: Options): Promise<ExitCode> {
	const requestedVersion = options.getInteger('version', MAX_VERSION);
	return withRulesStore(context, options, async store => {
		const current = await store.readCurrent();
		const selected = requestedVersion === undefined || requestedVersion === current?.version ? current : await store.readArchivedVersion(requestedVersion);
		if (selected === undefined) {
			const message = requestedVersion === undefined ? 'there are no rules yet' : `version ${requestedVersion} is not kept`;
			throw CommandError.create(exitCodes.failed, `rules: ${message}`);
		}

		context.writeStderr(options.has('json') ? '' : `rules: ${describeVersion(selected)}\n`);
		if (options.has('json')) {
			const {version, author, text} = selected;
			printJson(context, {version, author, text});
		} else {
			context.writeStdout(selected.text.endsWith('\n') || selected.text === '' ? selected.text : `${selected.text}\n`);
		}

		return exitCodes.done;
	});
}

/** Lists the last accepted changes. */
export async function showHistory(context: CliContext, options: Options): Promise<ExitCode> {
	return withRulesStore(context, options, async store => {
		const writes = await store.readHistory();
		if (options.has('json')) {
			printJson(context, {writes});
		} else {
			context.writeStdout(formatHistory(writes));
		}

		return exitCodes.done;
	});
}

/**
 * Author for the comments of rules and the history.
 *
 * @throws CommandError when it is missing or not allowed.
 */
export function readAuthor(options: Options): string {
	const author = options.getString('author');
	if (!isValidAuthor(author)) {
		throw usageError(`--author: read ${JSON.stringify(author)}, allowed: 1 to 64 letters, digits, spaces or . , ' _ @ -, with at least one letter`);
	}

	return author;
}

type TextChange = {
	readonly text: string;
	readonly author: string;
	/** Version that must be in force; undefined takes the version that is found in force. */
	readonly expected: number | undefined;
	readonly json: boolean;
};

/** The version in force afterwards, or the exit code when the change was not made. */
async function applyRulesText(context: CliContext, store: RulesStore, change: TextChange): Promise<{readonly version: number} | ExitCode> {
	const base = await store.readCurrent();
	if (change.expected !== undefined && change.expected !== (base?.version ?? 0)) {
		return reportVersionMismatch(context, store, change.expected, change.json);
	}

	const diff = diffRulesTexts(base?.text ?? '', change.text);
	if (!change.json) {
		context.writeStdout(formatDiff(diff));
	}

	if (base?.text === change.text) {
		reportResult(context, change.json, 'unchanged', base.version, `version ${base.version} holds this text already; nothing was changed`);
		return {version: base.version};
	}

	const result = await store.apply({text: change.text, author: change.author, base});
	switch (result.kind) {
		case 'accepted': {
			const note = diff !== undefined && isEmptyDiff(diff) ? ' (only comments, order or spelling differ)' : '';
			reportResult(context, change.json, 'accepted', result.version, `accepted as version ${result.version}${note}`);
			return {version: result.version};
		}

		case 'conflict': {
			return reportConflict(context, {base: {version: base?.version ?? 0, text: base?.text ?? ''}, current: result.current, changes: result.changes}, change.json);
		}

		case 'not-accepted':
		case 'unresolved': {
			return reportFailure(context, result, change.json);
		}
	}
}

async function reportVersionMismatch(context: CliContext, store: RulesStore, expected: number, json: boolean): Promise<ExitCode> {
	const current = await store.readCurrent();
	const writes = await store.readHistory();
	const expectedVersion = expected === 0 ? undefined : await store.readArchivedVersion(expected);
	const base = {version: expected, ...(expectedVersion === undefined ? {} : {text: expectedVersion.text})};
	return reportConflict(context, {base, current, changes: writes.filter(write => write.version > expected)}, json);
}

function reportResult(context: CliContext, json: boolean, outcome: 'accepted' | 'unchanged', version: number, message: string): void { // eslint-disable-line max-params
	if (json) {
		printJson(context, {outcome, version});
	} else {
		context.writeStdout(`${message}\n`);
	}
}

function readWaitOptions(context: CliContext, options: Options): {readonly entry: EntryClient; readonly seconds: number} | undefined {
	const seconds = options.getInteger('timeout', MAX_WAIT_SECONDS) ?? DEFAULT_WAIT_SECONDS;
	return options.has('wait') ? {entry: EntryClient.create(context, options), seconds} : undefined;
}

function resultToExitCode(outcome: {readonly version: number} | ExitCode): ExitCode {
	return typeof outcome === 'object' ? exitCodes.done : outcome;
}

function describeVersion(version: {readonly version: number; readonly author: string; readonly text: string} | undefined): string {
	if (version === undefined) {
		return 'no rules, since there are none yet';
	}

	const hasFindings = parseRules(version.text, 'stored').kind === 'failed';
	return `version ${version.version} by ${version.author}${hasFindings ? ', which has findings' : ''}`;
}
