#!/usr/bin/env node
/** The command `mimosamount`. */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {runCli} from '#cli';

const manifest = JSON.parse(readFileSync(new URL('../../../../package.json', import.meta.url), 'utf8')) as {readonly version: string};

// A reader such as `head` may close the pipe early; the command has completed by then.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	if (error.code !== 'EPIPE') {
		throw error;
	}
});

process.exitCode = await runCli(process.argv.slice(2), {
	writeStdout(text) {
		process.stdout.write(text);
	},
	writeStderr(text) {
		process.stderr.write(text);
	},
	readFile: path => readFileSync(path),
	now: Date.now,
	createId: randomUUID,
	async delay(ms) {
		await delay(ms);
	},
	version: manifest.version,
});
