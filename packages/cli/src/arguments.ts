/** Commands with their options, and the reader of command lines. */
import {parseArgs} from 'node:util';
import {CommandEnd, exitCodes} from './context.js';
import {describeAllowedWords} from '#rules';

const optionTypes = {
	platform: {type: 'string', value: 'URL', help: 'origin of the platform, for example http://10.0.0.2:7000'},
	'platform-key-file': {type: 'string', value: 'FILE', help: 'file with the platform key'},
	entry: {type: 'string', value: 'URL', help: 'origin of an entry, for example http://10.0.0.5:8080'},
	'operator-key-file': {type: 'string', value: 'FILE', help: 'file with the operators\' key'},
	author: {type: 'string', value: 'NAME', help: 'who asks for the change'},
	reason: {type: 'string', value: 'TEXT', help: 'why, for the comment of the rule'},
	expect: {type: 'string', value: 'VERSION', help: 'apply only if this version is in force'},
	wait: {type: 'boolean', value: '', help: 'wait until all machines that the entry sees have the new version'},
	timeout: {type: 'string', value: 'SECONDS', help: 'longest time of --wait, 1 to 3600 (default 30)'},
	workspace: {type: 'string', value: 'NAME', help: 'workspace of the request'},
	model: {type: 'string', value: 'MODEL', help: 'NAME, NAME@VERSION, NAME:ADAPTER or NAME@VERSION:ADAPTER'},
	'prompt-file': {type: 'string', value: 'FILE', help: 'file with the prompt, for its cached prefix'},
	json: {type: 'boolean', value: '', help: 'print results as JSON'},
	help: {type: 'boolean', value: '', help: 'print this help'},
	version: {type: 'boolean', value: '', help: 'print the version of the program'},
} as const;

export type OptionName = keyof typeof optionTypes;

type CommandSpec = {
	readonly operand?: string;
	readonly required: readonly OptionName[];
	readonly optional: readonly OptionName[];
	readonly help: string;
};

const platformOptions: readonly OptionName[] = ['platform', 'platform-key-file'];
const entryOptions: readonly OptionName[] = ['entry', 'operator-key-file'];

const commands = {
	'rules check': {
		operand: 'FILE', required: [], optional: [], help: 'check a rules file',
	},
	'rules diff': {
		operand: 'FILE', required: platformOptions, optional: [], help: 'compare a rules file with the rules in force',
	},
	'rules apply': {
		operand: 'FILE',
		required: [...platformOptions, 'author'],
		optional: ['expect', 'wait', 'timeout', ...entryOptions],
		help: 'check a rules file and put it in force',
	},
	'rules show': {
		required: platformOptions, optional: ['version'], help: 'print the rules in force, or those of --version N',
	},
	'rules history': {required: platformOptions, optional: [], help: 'list the last accepted changes'},
	status: {required: entryOptions, optional: [], help: 'show the machines, their load and the drains'},
	drain: {
		operand: 'TARGET', required: [...platformOptions, 'author'], optional: ['reason'], help: 'close ID, endpoint/ID, group/NAME or zone/NAME',
	},
	undrain: {
		operand: 'TARGET', required: [...platformOptions, 'author'], optional: [], help: 'remove the closed rule of a target',
	},
	explain: {
		required: [...entryOptions, 'workspace', 'model'], optional: ['prompt-file'], help: 'show where a request would go now',
	},
	'settings check': {
		operand: 'FILE', required: [], optional: [], help: 'check the settings of a process',
	},
} as const satisfies Readonly<Record<string, CommandSpec>>;

export type CommandName = keyof typeof commands;

/** A command line that was read. */
export type Invocation
	= | {readonly kind: 'help' | 'version'}
		| {readonly kind: 'command'; readonly name: CommandName; readonly operand: string; readonly options: Options};

/** Options of a command. Those that the command requires are present. */
export class Options {
	static create(values: Readonly<Record<string, string | boolean | undefined>>): Options {
		return new Options(values);
	}

	readonly #values: Readonly<Record<string, string | boolean | undefined>>;

	private constructor(values: Readonly<Record<string, string | boolean | undefined>>) {
		this.#values = values;
	}

	has(name: OptionName): boolean {
		return this.#values[name] !== undefined;
	}

	/** Value of an option. Ends the command when it is missing. */
	text(name: OptionName): string {
		const value = this.#values[name];
		if (typeof value !== 'string') {
			throw usageError(`--${name} ${optionTypes[name].value} is missing`);
		}

		return value;
	}

	/** Whole number from 1 to `max`, or `fallback` without the option. Ends the command when it is something else. */
	number(name: OptionName, max: number, min = 1): number | undefined {
		if (!this.has(name)) {
			return undefined;
		}

		const text = this.text(name);
		const value = /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
		if (!(value >= min && value <= max)) {
			throw usageError(`--${name}: read ${JSON.stringify(text)}, allowed: a whole number from ${min} to ${max}`);
		}

		return value;
	}
}

/**
 * Reads a command line.
 *
 * @throws CommandEnd with exit code 2 when it is not allowed.
 */
export function readArguments(argv: readonly string[]): Invocation {
	const {values, positionals} = parse(argv);
	if (values.help === true) {
		return {kind: 'help'};
	}

	if (positionals.length === 0 && values.version !== undefined) {
		return {kind: 'version'};
	}

	const {name, operands} = findCommand(positionals);
	const spec: CommandSpec = commands[name];
	if (operands.length !== (spec.operand === undefined ? 0 : 1)) {
		throw usageError(`usage: ${usageLine(name)}`);
	}

	checkOptions(name, spec, values);
	return {
		kind: 'command', name, operand: operands[0] ?? '', options: Options.create(values),
	};
}

/** Text of `--help`. */
export function helpText(): string {
	const names = Object.keys(commands) as CommandName[];
	const options = Object.entries(optionTypes).map(([name, {value, help}]) => `  ${`--${name} ${value}`.padEnd(27)} ${help}`);
	return [
		'usage: mimosamount COMMAND [OPTIONS]',
		'',
		'Commands:',
		...names.flatMap(name => [`  ${usageLine(name)}`, `      ${commands[name].help}`]),
		'',
		'Options:',
		...options,
		'',
		'Exit codes: 0 done, 1 refused or failed, 2 usage or findings, 3 conflict,',
		'4 platform or entry cannot be reached, 5 outcome unknown.',
		'',
	].join('\n');
}

/** Ends a command because of its usage. */
export function usageError(message: string): CommandEnd {
	return CommandEnd.create(exitCodes.usage, message);
}

/** `--version` is a flag of its own, but takes a number after `rules show`. */
function parse(argv: readonly string[]) {
	const isShow = argv[argv.indexOf('rules') + 1] === 'show';
	const options = Object.fromEntries(Object.entries(optionTypes)
		.map(([name, {type}]) => [name, {type: name === 'version' && isShow ? 'string' as const : type}]));
	try {
		return parseArgs({args: [...argv], options, allowPositionals: true}) as {
			readonly values: Readonly<Record<string, string | boolean | undefined>>;
			readonly positionals: readonly string[];
		};
	} catch (error) {
		throw usageError(error instanceof Error ? error.message : String(error));
	}
}

function findCommand(positionals: readonly string[]): {readonly name: CommandName; readonly operands: readonly string[]} {
	const names = Object.keys(commands) as CommandName[];
	for (const length of [2, 1]) {
		const name = names.find(candidate => candidate === positionals.slice(0, length).join(' '));
		if (name !== undefined) {
			return {name, operands: positionals.slice(length)};
		}
	}

	const read = positionals.slice(0, 2).join(' ');
	throw usageError(`command: read ${JSON.stringify(read)}, allowed: ${describeAllowedWords(read, names)}`);
}

function checkOptions(name: CommandName, spec: CommandSpec, values: Readonly<Record<string, unknown>>): void {
	const allowed = new Set<string>([...spec.required, ...spec.optional, 'json']);
	const extra = Object.keys(values).find(option => !allowed.has(option));
	if (extra !== undefined) {
		throw usageError(`${name} has no option --${extra}; usage: ${usageLine(name)}`);
	}

	const missing = spec.required.filter(option => values[option] === undefined);
	if (missing.length > 0) {
		throw usageError(`${name} needs ${missing.map(option => `--${option} ${optionTypes[option].value}`).join(', ')}`);
	}
}

function usageLine(name: CommandName): string {
	const spec: CommandSpec = commands[name];
	const write = (option: OptionName) => `--${option} ${optionTypes[option].value}`.trim();
	return [
		'mimosamount',
		name,
		...(spec.operand === undefined ? [] : [spec.operand]),
		...spec.required.map(option => write(option)),
		...spec.optional.map(option => `[${option === 'version' ? '--version N' : write(option)}]`),
		'[--json]',
	].join(' ');
}
