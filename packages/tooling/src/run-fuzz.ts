/**
 * Runs all compiled fuzz tests with fresh seeds until the time is up.
 * Prints, for each failure, its output and the command that reproduces it.
 *
 * Options: `--seconds N` (60), `--only TEXT` (substring of the path), `--runs N` (cases per seed, 200).
 */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {InputError} from '#core';
import {findTests} from '#tooling';

type Run = {readonly file: string; readonly seed: number; readonly passed: boolean; readonly output: string};

const JOBS = 2;
const MAX_SEED = 2 ** 31;

const {values} = parseArgs({
	options: {
		seconds: {type: 'string', default: '60'},
		only: {type: 'string', default: ''},
		runs: {type: 'string', default: '200'},
	},
});
const endAt = performance.now() + (wholeNumber('seconds', values.seconds) * 1000);
const runs = wholeNumber('runs', values.runs);
const files = findTests('target').filter(file => file.endsWith('.fuzz.test.js') && file.includes(values.only));
if (files.length === 0) {
	throw new InputError(`no fuzz test matches ${JSON.stringify(values.only)}`);
}

let next = 0;
const done: Run[] = [];
await Promise.all(Array.from({length: Math.min(JOBS, files.length)}, async () => work()));

for (const file of files) {
	const seeds = done.filter(run => run.file === file);
	console.log(`${file}: ${seeds.length} seeds of ${runs} cases, ${seeds.filter(run => !run.passed).length} failed`);
}

process.exitCode = done.every(run => run.passed) ? 0 : 1;

async function work(): Promise<void> {
	while (performance.now() < endAt) {
		const file = files[next % files.length]!;
		next += 1;
		const run = await runOnce(file, randomInt(MAX_SEED));
		done.push(run);
		if (!run.passed) {
			console.log(run.output);
			console.log(`failed; reproduce with: FUZZ_SEED=${run.seed} FUZZ_RUNS=${runs} node ${run.file}`);
		}
	}
}

async function runOnce(file: string, seed: number): Promise<Run> {
	const child = spawn(process.execPath, [file], {
		env: {...process.env, FUZZ_SEED: String(seed), FUZZ_RUNS: String(runs)},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const parts: string[] = [];
	const collect = (text: string) => {
		parts.push(text);
	};

	child.stdout.setEncoding('utf8').on('data', collect);
	child.stderr.setEncoding('utf8').on('data', collect);

	return new Promise((resolve, reject) => {
		child.on('error', reject);
		child.on('close', code => {
			resolve({
				file, seed, passed: code === 0, output: parts.join(''),
			});
		});
	});
}

function wholeNumber(name: string, text: string): number {
	if (!/^\d+$/.test(text)) {
		throw new InputError(`--${name}: read ${JSON.stringify(text)}, allowed: a whole number`);
	}

	return Number(text);
}
