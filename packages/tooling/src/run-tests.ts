/**
 * Runs all compiled tests except those in KNOWN-RED.txt, and prints the exceptions.
 * Arguments are substrings of the test paths to run; without arguments, all tests run.
 * The last line, `N passed, N failed`, counts assertions.
 */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {InputError} from '#core';
import {findTests, readKnownRed} from '#tooling';

const JOBS = 5;
const knownRed = readKnownRed('KNOWN-RED.txt');
const pathFilters = process.argv.slice(2);
const tests = findTests('target')
	.filter(file => !knownRed.includes(file))
	.filter(file => pathFilters.length === 0 || pathFilters.some(filter => file.includes(filter)));
for (const file of knownRed) {
	console.log(`known red, skipped: ${file}`);
}

if (tests.length === 0) {
	throw new InputError(`no test matches ${pathFilters.join(' ')}`);
}

const tap = spawn('node_modules/.bin/tap', ['run', `--jobs=${JOBS}`, ...tests], {stdio: ['ignore', 'pipe', 'inherit']});
let output = '';
tap.stdout.setEncoding('utf8');
tap.stdout.on('data', (text: string) => {
	output += text;
	process.stdout.write(text);
});
tap.on('close', code => {
	const passCount = /^# \{.*\bpass: (\d+)/mu.exec(output)?.[1] ?? '0';
	const failCount = /^# \{.*\bfail: (\d+)/mu.exec(output)?.[1] ?? '0';
	console.log(`${passCount} passed, ${failCount} failed`);
	process.exitCode = code ?? 1;
});
