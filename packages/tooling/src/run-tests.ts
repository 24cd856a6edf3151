/**
 * Runs all compiled tests but those in KNOWN-RED.txt, which it prints.
 * Arguments are substrings of the test paths to run; none runs all.
 * Closes with a line `N passed, N failed` that counts assertions.
 */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {InputError} from '#core';
import {findTests, readKnownRed} from '#tooling';

const JOBS = 5;
const red = readKnownRed('KNOWN-RED.txt');
const wanted = process.argv.slice(2);
const tests = findTests('target')
	.filter(file => !red.includes(file))
	.filter(file => wanted.length === 0 || wanted.some(part => file.includes(part)));
for (const file of red) {
	console.log(`known red, passed over: ${file}`);
}

if (tests.length === 0) {
	throw new InputError(`no test matches ${wanted.join(' ')}`);
}

const tap = spawn('node_modules/.bin/tap', ['run', `--jobs=${JOBS}`, ...tests], {stdio: ['ignore', 'pipe', 'inherit']});
let output = '';
tap.stdout.setEncoding('utf8');
tap.stdout.on('data', (text: string) => {
	output += text;
	process.stdout.write(text);
});
tap.on('close', code => {
	const pass = /^# \{.*\bpass: (\d+)/mu.exec(output)?.[1] ?? '0';
	const fail = /^# \{.*\bfail: (\d+)/mu.exec(output)?.[1] ?? '0';
	console.log(`${pass} passed, ${fail} failed`);
	process.exitCode = code ?? 1;
});
