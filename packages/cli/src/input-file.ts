/** Reading of files and addresses that options and operands name. */
import type {OptionName, Options} from './arguments.js';
import {
	CommandError, exitCodes, printJson, type CliContext,
} from './context.js';
import {formatFinding, type Finding, type Result} from '#core';
import {parseRules, type RuleSet} from '#rules';
import {resolveKey} from '#settings';

/**
 * Reads a file as UTF-8.
 *
 * @throws CommandError when it cannot be read or is not valid UTF-8.
 */
export function readTextFile(context: CliContext, file: string): string {
	try {
		// The byte order mark is kept, so that the parser can report it.
		return new TextDecoder('utf-8', {fatal: true, ignoreBOM: true}).decode(context.readFile(file));
	} catch (error) {
		throw CommandError.create(exitCodes.usage, `${file}: cannot be read as UTF-8 text: ${error instanceof Error ? error.message : String(error)}`);
	}
}

/**
 * Reads and checks a rules file. Prints all findings.
 *
 * @throws CommandError when there are findings.
 */
export function readRulesFile(context: CliContext, file: string, json: boolean): {readonly text: string; readonly rules: RuleSet} {
	const text = readTextFile(context, file);
	return {text, rules: requireNoFindings(context, parseRules(text, file), file, json)};
}

/**
 * Returns the value of a result, or prints all findings.
 *
 * @throws CommandError when there are findings.
 */
export function requireNoFindings<Value>(context: CliContext, result: Result<Value, readonly Finding[]>, file: string, json: boolean): Value {
	if (result.kind === 'ok') {
		return result.value;
	}

	if (json) {
		printJson(context, {outcome: 'findings', findings: result.failure});
	}

	for (const finding of json ? [] : result.failure) {
		context.writeStderr(`${formatFinding(finding)}\n`);
	}

	const count = result.failure.length;
	throw CommandError.create(exitCodes.usage, `${file}: ${count} finding${count === 1 ? '' : 's'}; nothing was changed`);
}

/**
 * Reads a key from the file that an option names.
 *
 * @throws CommandError when the file cannot be read or the key is not allowed.
 */
export function readKeyFile(context: CliContext, options: Options, name: OptionName): string {
	const key = resolveKey({kind: 'file', path: options.getString(name)}, name, path => readTextFile(context, path));
	if (key.kind === 'failed') {
		throw CommandError.create(exitCodes.usage, `--${formatFinding(key.failure)}`);
	}

	return key.value.reveal();
}

/**
 * Origin of the HTTP server whose URL an option gives.
 *
 * @throws CommandError when the URL is not valid or has a path or a query.
 */
export function readOrigin(options: Options, name: OptionName): string {
	const text = options.getString(name);
	const url = URL.canParse(text) ? new URL(text) : undefined;
	if (url === undefined || !['http:', 'https:'].includes(url.protocol) || url.pathname !== '/' || url.search !== '') {
		throw CommandError.create(exitCodes.usage, `--${name}: read ${JSON.stringify(text)}, allowed: a URL such as http://10.0.0.2:7000 without a path`);
	}

	return url.origin;
}
