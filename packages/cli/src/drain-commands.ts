/** `drain` and `undrain`: a `closed` rule is added to or removed from the rules in force. */
import {usageError, type Options} from './arguments.js';
import {
	CommandEnd, exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {acceptOrEnd} from './input-file.js';
import {readAuthor} from './rules-commands.js';
import {reportConflict, reportFailure} from './rules-report.js';
import {withRulesStore, type RulesStore} from './rules-store.js';
import {toPlain} from './table.js';
import {
	appendRule, endpointState, isValidName, nameSyntax, parseRules, removeLines, targetKey, targetKinds, targetState,
	type AccessRule, type RuleSet, type Target,
} from '#rules';
import type {PlatformClient} from '#object-api';
import type {ConfigVersion} from '#coordination';

// Drains of several targets at once conflict with one another; each conflict means that another one got through.
const MAX_ATTEMPTS = 10;
const MAX_REASON_CHARS = 500;

/** The edit that a command makes to the rules in force. */
type Edit
	= | {readonly kind: 'none'; readonly message: string}
		| {readonly kind: 'text'; readonly text: string; readonly message: string};

type MakeEdit = (text: string, rules: RuleSet) => Edit;

/** Closes a target. */
export async function drain(context: CliContext, operand: string, options: Options): Promise<ExitCode> {
	const target = readTarget(operand);
	const rule: AccessRule = {
		kind: 'access', target, access: {kind: 'closed'}, line: 1, attribution: {author: readAuthor(options), reason: readReason(options)},
	};
	return edit(context, options, {target, warnUnknown: true}, (text, rules) => {
		const own = rules.access.get(targetKey(target)) ?? [];
		const closed = own.find(({access}) => access.kind === 'closed');
		if (closed !== undefined) {
			return {kind: 'none', message: `${targetKey(target)} is closed already by line ${closed.line}, asked by ${closed.attribution.author}`};
		}

		// An `open` line would contradict the new one.
		const open = own.filter(({access}) => access.kind === 'open').map(({line}) => line);
		return {kind: 'text', text: appendRule(removeLines(text, open), rule), message: `${targetKey(target)} is closed${open.length === 0 ? '' : '; its open rule was removed'}`};
	});
}

/** Removes the `closed` rule of a target. */
export async function undrain(context: CliContext, operand: string, options: Options): Promise<ExitCode> {
	const target = readTarget(operand);
	return edit(context, options, {target, warnUnknown: false}, (text, rules) => {
		const own = rules.access.get(targetKey(target)) ?? [];
		const closed = own.filter(({access}) => access.kind === 'closed').map(({line}) => line);
		return closed.length === 0
			? {kind: 'none', message: `${targetKey(target)} has no closed rule`}
			: {kind: 'text', text: removeLines(text, closed), message: `the closed rule of ${targetKey(target)} is removed`};
	});
}

type EditTarget = {readonly target: Target; readonly warnUnknown: boolean};

async function edit(context: CliContext, options: Options, {target, warnUnknown}: EditTarget, makeEdit: MakeEdit): Promise<ExitCode> {
	const author = readAuthor(options);
	return withRulesStore(context, options, async (store, platform) => {
		if (warnUnknown) {
			await warnUnknownTarget(context, platform, target);
		}

		let outcome = await editOnce(context, store, {author, options, makeEdit});
		for (let attempt = 1; outcome.kind === 'conflict' && attempt < MAX_ATTEMPTS; attempt += 1) {
			context.tell('rules: somebody else changed the rules meanwhile; making the edit again on their version\n');
			outcome = await editOnce(context, store, {author, options, makeEdit});
		}

		if (outcome.kind === 'conflict') {
			return outcome.report();
		}

		if (outcome.exitCode === exitCodes.done) {
			await tellState(context, platform, target, outcome.text);
		}

		return outcome.exitCode;
	});
}

type EditOutcome
	= | {readonly kind: 'ended'; readonly exitCode: ExitCode; readonly text: string}
		| {readonly kind: 'conflict'; readonly report: () => ExitCode};

type EditRequest = {readonly author: string; readonly options: Options; readonly makeEdit: MakeEdit};

async function editOnce(context: CliContext, store: RulesStore, {author, options, makeEdit}: EditRequest): Promise<EditOutcome> {
	const json = options.has('json');
	const base = await store.current();
	const text = base?.text ?? '';
	const change = makeEdit(text, acceptOrEnd(context, parseRules(text, 'stored rules'), 'stored rules', json));
	if (change.kind === 'none') {
		reportDone(context, json, {outcome: 'unchanged', base, message: change.message});
		return {kind: 'ended', exitCode: exitCodes.done, text};
	}

	acceptOrEnd(context, parseRules(change.text, 'edited rules'), 'edited rules', json);
	const answer = await store.apply({text: change.text, author, base});
	switch (answer.kind) {
		case 'accepted': {
			reportDone(context, json, {outcome: 'accepted', base: {version: answer.version}, message: change.message});
			return {kind: 'ended', exitCode: exitCodes.done, text: change.text};
		}

		case 'conflict': {
			return {
				kind: 'conflict',
				report: () => reportConflict(context, {base: {version: base?.version ?? 0, text}, current: answer.current, changes: answer.changes}, json),
			};
		}

		case 'not-accepted':
		case 'unresolved': {
			return {kind: 'ended', exitCode: reportFailure(context, answer, json), text};
		}
	}
}

type Done = {
	readonly outcome: 'accepted' | 'unchanged';
	readonly base: Pick<ConfigVersion, 'version'> | undefined;
	readonly message: string;
};

function reportDone(context: CliContext, json: boolean, {outcome, base, message}: Done): void {
	const version = base?.version ?? 0;
	if (json) {
		printJson(context, {outcome, version, message});
	} else {
		context.print(`${message} (rules version ${version})\n`);
	}
}

/** Names other rules that keep the target closed after `undrain`. */
async function tellState(context: CliContext, platform: PlatformClient, target: Target, text: string): Promise<void> {
	const parsed = parseRules(text, 'stored rules');
	if (parsed.kind === 'failed') {
		return;
	}

	const now = context.now();
	const instances = target.kind === 'endpoint' ? await platform.listInstances() : undefined;
	const instance = instances?.kind === 'ok' ? instances.value.items.find(({id}) => id === target.name) : undefined;
	const state = instance === undefined
		? targetState(parsed.value, target, now)
		: endpointState(parsed.value, {id: instance.id, zone: instance.zone, ...(instance.group === undefined ? {} : {group: instance.group})}, now);
	if (state.kind === 'closed' && (state.rule.access.kind !== 'closed' || targetKey(state.rule.target) !== targetKey(target))) {
		context.tell(`rules: ${targetKey(target)} is also closed by line ${state.rule.line} (${targetKey(state.rule.target)}), asked by ${state.rule.attribution.author}\n`);
	}
}

/** A mistyped target would leave the meant one at work. The list lags, so that this is no error. */
async function warnUnknownTarget(context: CliContext, platform: PlatformClient, target: Target): Promise<void> {
	const instances = await platform.listInstances();
	const names = instances.kind === 'ok'
		? instances.value.items.flatMap(instance => ({endpoint: instance.id, zone: instance.zone, group: instance.group})[target.kind] ?? [])
		: [target.name];
	if (!names.includes(target.name)) {
		context.tell(`rules: note: the platform's list of instances has no ${targetKey(target)}; the list lags\n`);
	}
}

function readTarget(operand: string): Target {
	const sign = operand.indexOf('/');
	const word = sign === -1 ? 'endpoint' : operand.slice(0, sign);
	const name = operand.slice(sign + 1);
	const kind = targetKinds.find(candidate => candidate === word);
	if (kind === undefined || !isValidName(name)) {
		throw usageError(`TARGET: read ${JSON.stringify(operand)}, allowed: ID, endpoint/ID, group/NAME or zone/NAME, with ${nameSyntax}`);
	}

	return {kind, name};
}

function readReason(options: Options): string {
	const reason = options.has('reason') ? options.text('reason').trim() : '';
	if (reason !== toPlain(reason) || reason.length > MAX_REASON_CHARS) {
		throw CommandEnd.create(exitCodes.usage, `--reason: allowed: at most ${MAX_REASON_CHARS} characters on one line`);
	}

	return reason;
}
