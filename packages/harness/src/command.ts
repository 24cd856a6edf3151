/** Runs a command-line tool to its end. Development only; daemons start no process. */
import {execFile} from 'node:child_process';
import process from 'node:process';

/** What a command printed and how it ended. */
export type CommandResult = {
	readonly exitCode: number;
	readonly stdout: string;
	readonly stderr: string;
};

/** Runs a compiled module of `target/packages/`. @throws Error when the process cannot be started or is killed. */
export async function runCommand(module: string, args: readonly string[]): Promise<CommandResult> {
	return new Promise((resolve, reject) => {
		execFile(process.execPath, ['--enable-source-maps', module, ...args], (error, stdout, stderr) => {
			const exitCode = error === null ? 0 : error.code;
			if (typeof exitCode === 'number') {
				resolve({exitCode, stdout, stderr});
				return;
			}

			reject(new Error(`${module} did not run to its end`, {cause: error}));
		});
	});
}
