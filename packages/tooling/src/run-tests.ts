/**
 * Runs all compiled tests except those in KNOWN-RED.txt, and prints the exceptions.
 * Arguments are substrings of the test paths to run; without arguments, all tests run. Tests of the memory of processes run
 * one at a time, after the others.
 * The last line, `N passed, N failed`, counts assertions.
 */
import {spawn} from 'node:child_process';
import process from 'node:process';
import {InputError} from '#core';
import {findTests, isMemoryTest, readKnownRed} from '#tooling';

const JOBS = 5;

type Outcome = {readonly passed: number; readonly failed: number; readonly exitCode: number};

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

const outcomes = [
	await runTests(tests.filter(file => !isMemoryTest(file)), JOBS),
	await runTests(tests.filter(file => isMemoryTest(file)), 1),
];
console.log(`${sum(outcomes.map(({passed}) => passed))} passed, ${sum(outcomes.map(({failed}) => failed))} failed`);
process.exitCode = outcomes.find(({exitCode}) => exitCode !== 0)?.exitCode ?? 0;

async function runTests(files: readonly string[], jobs: number): Promise<Outcome> {
	if (files.length === 0) {
		return {passed: 0, failed: 0, exitCode: 0};
	}

	const tap = spawn('node_modules/.bin/tap', ['run', `--jobs=${jobs}`, ...files], {stdio: ['ignore', 'pipe', 'inherit']});
	let output = '';
	tap.stdout.setEncoding('utf8');
	tap.stdout.on('data', (text: string) => {
		output += text;
		process.stdout.write(text);
	});
	const exitCode = await new Promise<number>(resolve => {
		tap.on('close', code => {
			resolve(code ?? 1);
		});
	});
	const countOf = (name: 'pass' | 'fail') => Number(new RegExp(String.raw`^# \{.*\b${name}: (\d+)`, 'mu').exec(output)?.[1] ?? '0');
	return {passed: countOf('pass'), failed: countOf('fail'), exitCode};
}

function sum(counts: readonly number[]): number {
	return counts.reduce((total, count) => total + count, 0);
}
