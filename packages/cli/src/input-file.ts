/** Files that the operator names. */
import type {OptionName, Options} from './arguments.js';
import {
	CommandEnd, exitCodes, printJson, type CliContext,
} from './context.js';
import {formatFinding, type Finding, type Result} from '#core';
import {parseRules, type RuleSet} from '#rules';
import {resolveKey} from '#settings';

/** Reads a file as UTF-8. Ends the command when it cannot be read or holds other bytes. */
export function readText(context: CliContext, file: string): string {
	try {
		// The byte order mark is kept, so that the parser can report it.
		return new TextDecoder('utf-8', {fatal: true, ignoreBOM: true}).decode(context.readFile(file));
	} catch (error) {
		throw CommandEnd.create(exitCodes.usage, `${file}: cannot be read as UTF-8 text: ${error instanceof Error ? error.message : String(error)}`);
	}
}

/** Reads and checks a rules file. Prints all findings and ends the command when there are any. */
export function readRulesFile(context: CliContext, file: string, json: boolean): {readonly text: string; readonly rules: RuleSet} {
	const text = readText(context, file);
	return {text, rules: acceptOrEnd(context, parseRules(text, file), file, json)};
}

/** The value, or prints all findings and ends the command. */
export function acceptOrEnd<Value>(context: CliContext, result: Result<Value, readonly Finding[]>, file: string, json: boolean): Value {
	if (result.kind === 'ok') {
		return result.value;
	}

	if (json) {
		printJson(context, {outcome: 'findings', findings: result.failure});
	}

	for (const finding of json ? [] : result.failure) {
		context.tell(`${formatFinding(finding)}\n`);
	}

	const count = result.failure.length;
	throw CommandEnd.create(exitCodes.usage, `${file}: ${count} finding${count === 1 ? '' : 's'}; nothing was changed`);
}

/** Reads a key from the file that an option names. */
export function readKey(context: CliContext, options: Options, name: OptionName): string {
	const key = resolveKey({kind: 'file', path: options.text(name)}, name, path => readText(context, path));
	if (key.kind === 'failed') {
		throw CommandEnd.create(exitCodes.usage, `--${formatFinding(key.failure)}`);
	}

	return key.value.reveal();
}

/** Origin of an HTTP server that an option names. */
export function readOrigin(options: Options, name: OptionName): string {
	const text = options.text(name);
	const url = URL.canParse(text) ? new URL(text) : undefined;
	if (url === undefined || !['http:', 'https:'].includes(url.protocol) || url.pathname !== '/' || url.search !== '') {
		throw CommandEnd.create(exitCodes.usage, `--${name}: read ${JSON.stringify(text)}, allowed: a URL such as http://10.0.0.2:7000 without a path`);
	}

	return url.origin;
}
