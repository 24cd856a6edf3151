/** Definitions of the commands and options, and the command-line parser. */
import {parseArgs} from 'node:util';
import {CommandError, exitCodes} from './context.js';
import {describeAllowedWords} from '#rules';

const optionSpecs = {
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

export type OptionName = keyof typeof optionSpecs;

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

/** A parsed command line. */
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

	/**
	 * Value of a string option.
	 *
	 * @throws CommandError when it is missing.
	 */
	getString(name: OptionName): string {
		const value = this.#values[name];
		if (typeof value !== 'string') {
			throw usageError(`--${name} ${optionSpecs[name].value} is missing`);
		}

		return value;
	}

	/**
	 * Whole number from `min` to `max`; undefined without the option.
	 *
	 * @throws CommandError when the value is anything else.
	 */
	getInteger(name: OptionName, max: number, min = 1): number | undefined {
		if (!this.has(name)) {
			return undefined;
		}

		const text = this.getString(name);
		const value = /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
		if (!(value >= min && value <= max)) {
			throw usageError(`--${name}: read ${JSON.stringify(text)}, allowed: a whole number from ${min} to ${max}`);
		}

		return value;
	}
}

/**
 * Parses a command line.
 *
 * @throws CommandError with exit code 2 when it is invalid.
 */
export function parseArguments(argv: readonly string[]): Invocation {
	const {values, positionals} = parseOptions(argv);
	if (values.help === true) {
		return {kind: 'help'};
	}

	if (positionals.length === 0 && values.version !== undefined) {
		return {kind: 'version'};
	}

	const {name, operands} = findCommand(positionals);
	const spec: CommandSpec = commands[name];
	if (operands.length !== (spec.operand === undefined ? 0 : 1)) {
		throw usageError(`usage: ${formatUsage(name)}`);
	}

	checkOptions(name, spec, values);
	return {
		kind: 'command', name, operand: operands[0] ?? '', options: Options.create(values),
	};
}

/** Text of `--help`. */
export function helpText(): string {
	const names = Object.keys(commands) as CommandName[];
	const options = Object.entries(optionSpecs).map(([name, {value, help}]) => `  ${`--${name} ${value}`.padEnd(27)} ${help}`);
	return [
		'usage: mimosamount COMMAND [OPTIONS]',
		'',
		'Commands:',
		...names.flatMap(name => [`  ${formatUsage(name)}`, `      ${commands[name].help}`]),
		'',
		'Options:',
		...options,
		'',
		'Exit codes: 0 done, 1 refused or failed, 2 usage or findings, 3 conflict,',
		'4 platform or entry cannot be reached, 5 outcome unknown.',
		'',
	].join('\n');
}

/** Creates the error for invalid usage, with exit code 2. */
export function usageError(message: string): CommandError {
	return CommandError.create(exitCodes.usage, message);
}

/** Parses options and positionals. `--version` is a flag, except that it takes a number after `rules show`. */
function parseOptions(argv: readonly string[]) {
	const isRulesShow = argv[argv.indexOf('rules') + 1] === 'show';
	const options = Object.fromEntries(Object.entries(optionSpecs)
		.map(([name, {type}]) => [name, {type: name === 'version' && isRulesShow ? 'string' as const : type}]));
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

	const command = positionals.slice(0, 2).join(' ');
	throw usageError(`command: read ${JSON.stringify(command)}, allowed: ${describeAllowedWords(command, names)}`);
}

function checkOptions(name: CommandName, spec: CommandSpec, values: Readonly<Record<string, unknown>>): void {
	const allowed = new Set<string>([...spec.required, ...spec.optional, 'json']);
	const unknownOption = Object.keys(values).find(option => !allowed.has(option));
	if (unknownOption !== undefined) {
		throw usageError(`${name} has no option --${unknownOption}; usage: ${formatUsage(name)}`);
	}

	const missing = spec.required.filter(option => values[option] === undefined);
	if (missing.length > 0) {
		throw usageError(`${name} needs ${missing.map(option => `--${option} ${optionSpecs[option].value}`).join(', ')}`);
	}
}

function formatUsage(name: CommandName): string {
	const spec: CommandSpec = commands[name];
	const formatOption = (option: OptionName) => `--${option} ${optionSpecs[option].value}`.trim();
	return [
		'mimosamount',
		name,
		...(spec.operand === undefined ? [] : [spec.operand]),
		...spec.required.map(option => formatOption(option)),
		...spec.optional.map(option => `[${option === 'version' ? '--version N' : formatOption(option)}]`),
		'[--json]',
	].join(' ');
}
