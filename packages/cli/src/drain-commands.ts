/** `drain` and `undrain`: add a `closed` rule to the rules in force, or remove it. */
import {usageError, type Options} from './arguments.js';
import {
	CommandError, exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {requireNoFindings} from './input-file.js';
import {readAuthor} from './rules-commands.js';
import {reportConflict, reportFailure} from './rules-report.js';
import {withRulesStore, type RulesStore} from './rules-store.js';
import {replaceControlCharacters} from './table.js';
import {
	appendRule, endpointState, isValidName, nameSyntax, parseRules, removeLines, targetKey, targetKinds, targetState,
	type AccessRule, type RuleSet, type Target,
} from '#rules';
import type {PlatformClient} from '#object-api';
import type {ConfigVersion} from '#coordination';

// Concurrent drains of different targets conflict with one another; each conflict means that another drain was applied.
const MAX_ATTEMPTS = 10;
const MAX_REASON_CHARS = 500;

/** Edit of the rules in force; `none` when they need no change. */
type RulesEdit
	= | {readonly kind: 'none'; readonly message: string}
		| {readonly kind: 'text'; readonly text: string; readonly message: string};

/** Computes the edit from the current text and its parsed rules. */
type CreateEdit = (text: string, rules: RuleSet) => RulesEdit;

/** Closes a target by adding a `closed` rule. */
export async function drain(context: CliContext, operand: string, options: Options): Promise<ExitCode> {
	const target = readTarget(operand);
	const rule: AccessRule = {
		kind: 'access', target, access: {kind: 'closed'}, line: 1, attribution: {author: readAuthor(options), reason: readReason(options)},
	};
	return editRules(context, options, {target, warnIfUnknown: true}, (text, rules) => {
		const targetRules = rules.access.get(targetKey(target)) ?? [];
		const closed = targetRules.find(({access}) => access.kind === 'closed');
		if (closed !== undefined) {
			return {kind: 'none', message: `${targetKey(target)} is closed already by line ${closed.line}, asked by ${closed.attribution.author}`};
		}

		// An `open` rule for the same target would contradict the new `closed` rule.
		const open = targetRules.filter(({access}) => access.kind === 'open').map(({line}) => line);
		return {kind: 'text', text: appendRule(removeLines(text, open), rule), message: `${targetKey(target)} is closed${open.length === 0 ? '' : '; its open rule was removed'}`};
	});
}

/** Removes the `closed` rule of a target. */
export async function undrain(context: CliContext, operand: string, options: Options): Promise<ExitCode> {
	const target = readTarget(operand);
	return editRules(context, options, {target, warnIfUnknown: false}, (text, rules) => {
		const targetRules = rules.access.get(targetKey(target)) ?? [];
		const closed = targetRules.filter(({access}) => access.kind === 'closed').map(({line}) => line);
		return closed.length === 0
			? {kind: 'none', message: `${targetKey(target)} has no closed rule`}
			: {kind: 'text', text: removeLines(text, closed), message: `the closed rule of ${targetKey(target)} is removed`};
	});
}

type TargetCheck = {readonly target: Target; readonly warnIfUnknown: boolean};

async function editRules(context: CliContext, options: Options, {target, warnIfUnknown}: TargetCheck, createEdit: CreateEdit): Promise<ExitCode> {
	const author = readAuthor(options);
	return withRulesStore(context, options, async (store, platform) => {
		if (warnIfUnknown) {
			await warnUnknownTarget(context, platform, target);
		}

		let result = await tryEdit(context, store, {author, options, createEdit});
		for (let attempt = 1; result.kind === 'conflict' && attempt < MAX_ATTEMPTS; attempt += 1) {
			context.writeStderr('rules: the rules were changed concurrently; retrying the edit on the new version\n');
			result = await tryEdit(context, store, {author, options, createEdit});
		}

		if (result.kind === 'conflict') {
			return result.report();
		}

		if (result.exitCode === exitCodes.done) {
			await reportRemainingClosure(context, platform, target, result.text);
		}

		return result.exitCode;
	});
}

type EditResult
	= | {readonly kind: 'ended'; readonly exitCode: ExitCode; readonly text: string}
		| {readonly kind: 'conflict'; readonly report: () => ExitCode};

type EditInput = {readonly author: string; readonly options: Options; readonly createEdit: CreateEdit};

async function tryEdit(context: CliContext, store: RulesStore, {author, options, createEdit}: EditInput): Promise<EditResult> {
	const json = options.has('json');
	const base = await store.readCurrent();
	const text = base?.text ?? '';
	const edit = createEdit(text, requireNoFindings(context, parseRules(text, 'stored rules'), 'stored rules', json));
	if (edit.kind === 'none') {
		printSummary(context, json, {outcome: 'unchanged', base, message: edit.message});
		return {kind: 'ended', exitCode: exitCodes.done, text};
	}

	requireNoFindings(context, parseRules(edit.text, 'edited rules'), 'edited rules', json);
	const result = await store.apply({text: edit.text, author, base});
	switch (result.kind) {
		case 'accepted': {
			printSummary(context, json, {outcome: 'accepted', base: {version: result.version}, message: edit.message});
			return {kind: 'ended', exitCode: exitCodes.done, text: edit.text};
		}

		case 'conflict': {
			return {
				kind: 'conflict',
				report: () => reportConflict(context, {base: {version: base?.version ?? 0, text}, current: result.current, changes: result.changes}, json),
			};
		}

		case 'not-accepted':
		case 'unresolved': {
			return {kind: 'ended', exitCode: reportFailure(context, result, json), text};
		}
	}
}

type EditSummary = {
	readonly outcome: 'accepted' | 'unchanged';
	readonly base: Pick<ConfigVersion, 'version'> | undefined;
	readonly message: string;
};

function printSummary(context: CliContext, json: boolean, {outcome, base, message}: EditSummary): void {
	const version = base?.version ?? 0;
	if (json) {
		printJson(context, {outcome, version, message});
	} else {
		context.writeStdout(`${message} (rules version ${version})\n`);
	}
}

/** Reports a rule for another target that also closes this one, so that `undrain` did not open it. */
async function reportRemainingClosure(context: CliContext, platform: PlatformClient, target: Target, text: string): Promise<void> {
	const parsed = parseRules(text, 'stored rules');
	if (parsed.kind === 'failed') {
		return;
	}

	const now = context.now();
	const result = target.kind === 'endpoint' ? await platform.listInstances() : undefined;
	const instance = result?.kind === 'ok' ? result.value.items.find(({id}) => id === target.name) : undefined;
	const state = instance === undefined
		? targetState(parsed.value, target, now)
		: endpointState(parsed.value, {id: instance.id, zone: instance.zone, ...(instance.group === undefined ? {} : {group: instance.group})}, now);
	if (state.kind === 'closed' && (state.rule.access.kind !== 'closed' || targetKey(state.rule.target) !== targetKey(target))) {
		context.writeStderr(`rules: ${targetKey(target)} is also closed by line ${state.rule.line} (${targetKey(state.rule.target)}), asked by ${state.rule.attribution.author}\n`);
	}
}

/**
 * Warns about a target that may be mistyped, since the intended one would then stay open.
 * This is no error because the list of instances may be out of date.
 */
async function warnUnknownTarget(context: CliContext, platform: PlatformClient, target: Target): Promise<void> {
	const result = await platform.listInstances();
	const names = result.kind === 'ok'
		? result.value.items.flatMap(instance => ({endpoint: instance.id, zone: instance.zone, group: instance.group})[target.kind] ?? [])
		: [target.name];
	if (!names.includes(target.name)) {
		context.writeStderr(`rules: note: the platform's list of instances has no ${targetKey(target)}; the list may be out of date\n`);
	}
}

function readTarget(operand: string): Target {
	const separatorIndex = operand.indexOf('/');
	const prefix = separatorIndex === -1 ? 'endpoint' : operand.slice(0, separatorIndex);
	const name = operand.slice(separatorIndex + 1);
	const kind = targetKinds.find(candidate => candidate === prefix);
	if (kind === undefined || !isValidName(name)) {
		throw usageError(`TARGET: read ${JSON.stringify(operand)}, allowed: ID, endpoint/ID, group/NAME or zone/NAME, with ${nameSyntax}`);
	}

	return {kind, name};
}

function readReason(options: Options): string {
	const reason = options.has('reason') ? options.getString('reason').trim() : '';
	if (reason !== replaceControlCharacters(reason) || reason.length > MAX_REASON_CHARS) {
		throw CommandError.create(exitCodes.usage, `--reason: allowed: at most ${MAX_REASON_CHARS} characters on one line`);
	}

	return reason;
}
