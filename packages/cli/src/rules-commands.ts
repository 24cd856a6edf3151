/** `rules check`, `diff`, `apply`, `show` and `history`. */
import {usageError, type Options} from './arguments.js';
import {
	CommandEnd, exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {EntryClient} from './entry-client.js';
import {readRulesFile} from './input-file.js';
import {
	diffTexts, diffToJson, formatDiff, formatWrites, reportConflict, reportFailure,
} from './rules-report.js';
import {withRulesStore, type RulesStore} from './rules-store.js';
import {waitForVersion} from './wait.js';
import {isValidAuthor, isEmptyDiff, parseRules} from '#rules';

const MAX_VERSION = 1e12;
const MAX_WAIT_SECONDS = 3600;
const DEFAULT_WAIT_SECONDS = 30;

/** Checks a file without any call. */
export function checkRules(context: CliContext, file: string, options: Options): ExitCode {
	const {rules} = readRulesFile(context, file, options.has('json'));
	if (options.has('json')) {
		printJson(context, {outcome: 'ok', rules: rules.rules.length, findings: []});
	} else {
		context.print(`${file}: ${rules.rules.length} rules, no findings\n`);
	}

	return exitCodes.done;
}

/** Compares a file with the rules in force. */
export async function diffRulesFile(context: CliContext, file: string, options: Options): Promise<ExitCode> {
	const json = options.has('json');
	const {text} = readRulesFile(context, file, json);
	return withRulesStore(context, options, async store => {
		const current = await store.current();
		const diff = diffTexts(current?.text ?? '', text);
		if (json) {
			printJson(context, {version: current?.version ?? 0, diff: diffToJson(diff)});
		} else {
			context.tell(`rules: compared with ${describeVersion(current)}\n`);
			context.print(formatDiff(diff));
		}

		return exitCodes.done;
	});
}

/** Puts a file in force if nobody changed the rules meanwhile. */
export async function applyRules(context: CliContext, file: string, options: Options): Promise<ExitCode> {
	const json = options.has('json');
	const author = readAuthor(options);
	const expected = options.number('expect', MAX_VERSION, 0);
	const wait = readWait(context, options);
	const {text} = readRulesFile(context, file, json);
	try {
		return await withRulesStore(context, options, async store => {
			const version = await applyText(context, store, {
				text, author, expected, json,
			});
			return wait === undefined || typeof version !== 'object'
				? toExitCode(version)
				: waitForVersion(context, wait.entry, {version: version.version, timeoutMs: wait.seconds * 1000});
		});
	} finally {
		await wait?.entry.close();
	}
}

/** Prints the text of the rules in force or of a kept version. */
export async function showRules(context: CliContext, options: Options): Promise<ExitCode> {
	const wanted = options.number('version', MAX_VERSION);
	return withRulesStore(context, options, async store => {
		const current = await store.current();
		const shown = wanted === undefined || wanted === current?.version ? current : await store.archived(wanted);
		if (shown === undefined) {
			const message = wanted === undefined ? 'there are no rules yet' : `version ${wanted} is not kept`;
			throw CommandEnd.create(exitCodes.failed, `rules: ${message}`);
		}

		context.tell(options.has('json') ? '' : `rules: ${describeVersion(shown)}\n`);
		if (options.has('json')) {
			const {version, author, text} = shown;
			printJson(context, {version, author, text});
		} else {
			context.print(shown.text.endsWith('\n') || shown.text === '' ? shown.text : `${shown.text}\n`);
		}

		return exitCodes.done;
	});
}

/** Lists the last accepted changes. */
export async function showHistory(context: CliContext, options: Options): Promise<ExitCode> {
	return withRulesStore(context, options, async store => {
		const writes = await store.history();
		if (options.has('json')) {
			printJson(context, {writes});
		} else {
			context.print(formatWrites(writes));
		}

		return exitCodes.done;
	});
}

/** Name for the comment and the history. */
export function readAuthor(options: Options): string {
	const author = options.text('author');
	if (!isValidAuthor(author)) {
		throw usageError(`--author: read ${JSON.stringify(author)}, allowed: 1 to 64 letters, digits, spaces or . , ' _ @ -, with at least one letter`);
	}

	return author;
}

type TextChange = {
	readonly text: string;
	readonly author: string;
	/** Version that must be in force; without it, the one found in force. */
	readonly expected: number | undefined;
	readonly json: boolean;
};

/** The version in force afterwards, or the exit code of a change that was not made. */
async function applyText(context: CliContext, store: RulesStore, change: TextChange): Promise<{readonly version: number} | ExitCode> {
	const base = await store.current();
	if (change.expected !== undefined && change.expected !== (base?.version ?? 0)) {
		return reportUnexpected(context, store, change.expected, change.json);
	}

	const diff = diffTexts(base?.text ?? '', change.text);
	if (!change.json) {
		context.print(formatDiff(diff));
	}

	if (base?.text === change.text) {
		report(context, change.json, 'unchanged', base.version, `version ${base.version} holds this text already; nothing was changed`);
		return {version: base.version};
	}

	const answer = await store.apply({text: change.text, author: change.author, base});
	switch (answer.kind) {
		case 'accepted': {
			const note = diff !== undefined && isEmptyDiff(diff) ? ' (only comments, order or spelling differ)' : '';
			report(context, change.json, 'accepted', answer.version, `accepted as version ${answer.version}${note}`);
			return {version: answer.version};
		}

		case 'conflict': {
			return reportConflict(context, {base: {version: base?.version ?? 0, text: base?.text ?? ''}, current: answer.current, changes: answer.changes}, change.json);
		}

		case 'not-accepted':
		case 'unresolved': {
			return reportFailure(context, answer, change.json);
		}
	}
}

async function reportUnexpected(context: CliContext, store: RulesStore, expected: number, json: boolean): Promise<ExitCode> {
	const current = await store.current();
	const writes = await store.history();
	const old = expected === 0 ? undefined : await store.archived(expected);
	const base = {version: expected, ...(old === undefined ? {} : {text: old.text})};
	return reportConflict(context, {base, current, changes: writes.filter(write => write.version > expected)}, json);
}

function report(context: CliContext, json: boolean, outcome: 'accepted' | 'unchanged', version: number, message: string): void { // eslint-disable-line max-params
	if (json) {
		printJson(context, {outcome, version});
	} else {
		context.print(`${message}\n`);
	}
}

function readWait(context: CliContext, options: Options): {readonly entry: EntryClient; readonly seconds: number} | undefined {
	const seconds = options.number('timeout', MAX_WAIT_SECONDS) ?? DEFAULT_WAIT_SECONDS;
	return options.has('wait') ? {entry: EntryClient.create(context, options), seconds} : undefined;
}

function toExitCode(outcome: {readonly version: number} | ExitCode): ExitCode {
	return typeof outcome === 'object' ? exitCodes.done : outcome;
}

function describeVersion(version: {readonly version: number; readonly author: string; readonly text: string} | undefined): string {
	if (version === undefined) {
		return 'no rules, since there are none yet';
	}

	const hasFindings = parseRules(version.text, 'stored').kind === 'failed';
	return `version ${version.version} by ${version.author}${hasFindings ? ', which has findings' : ''}`;
}
