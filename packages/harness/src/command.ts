/** Runs a command-line tool until it exits. Development only; daemons start no processes. */
import {execFile} from 'node:child_process';
import process from 'node:process';

/** Output and exit code of a command. */
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

			reject(new Error(`${module} could not be started or was killed`, {cause: error}));
		});
	});
}
