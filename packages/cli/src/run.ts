/** Runs one command line. */
import {
	helpText, parseArguments, type Invocation, type Options,
} from './arguments.js';
import {
	CommandError, exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {drain, undrain} from './drain-commands.js';
import {explain, showStatus} from './entry-commands.js';
import {requireNoFindings, readTextFile} from './input-file.js';
import {
	applyRules, checkRules, diffRulesFile, showHistory, showRules,
} from './rules-commands.js';
import {readSettings} from '#settings';

/**
 * Runs a command.
 *
 * @param argv - Arguments after the program name.
 * @returns The exit code; expected failures are reported and do not throw.
 */
export async function runCli(argv: readonly string[], context: CliContext): Promise<ExitCode> {
	try {
		return await runInvocation(context, parseArguments(argv));
	} catch (error) {
		if (error instanceof CommandError) {
			context.writeStderr(`mimosamount: ${error.message}\n`);
			return error.exitCode;
		}

		throw error;
	}
}

async function runInvocation(context: CliContext, invocation: Invocation): Promise<ExitCode> {
	switch (invocation.kind) {
		case 'help': {
			context.writeStdout(helpText());
			return exitCodes.done;
		}

		case 'version': {
			context.writeStdout(`mimosamount ${context.version}\n`);
			return exitCodes.done;
		}

		case 'command': {
			return runCommand(context, invocation);
		}
	}
}

async function runCommand(context: CliContext, {name, operand, options}: Extract<Invocation, {readonly kind: 'command'}>): Promise<ExitCode> {
	switch (name) {
		case 'rules check': {
			return checkRules(context, operand, options);
		}

		case 'rules diff': {
			return diffRulesFile(context, operand, options);
		}

		case 'rules apply': {
			return applyRules(context, operand, options);
		}

		case 'rules show': {
			return showRules(context, options);
		}

		case 'rules history': {
			return showHistory(context, options);
		}

		case 'status': {
			return showStatus(context, options);
		}

		case 'drain': {
			return drain(context, operand, options);
		}

		case 'undrain': {
			return undrain(context, operand, options);
		}

		case 'explain': {
			return explain(context, options);
		}

		case 'settings check': {
			return checkSettings(context, operand, options);
		}
	}
}

function checkSettings(context: CliContext, file: string, options: Options): ExitCode {
	const json = options.has('json');
	const settings = requireNoFindings(context, readSettings(readTextFile(context, file), file), file, json);
	if (json) {
		printJson(context, {
			outcome: 'ok', role: settings.role, id: settings.id, findings: [],
		});
	} else {
		context.writeStdout(`${file}: settings of ${settings.role} ${settings.id}, no findings\n`);
	}

	return exitCodes.done;
}
