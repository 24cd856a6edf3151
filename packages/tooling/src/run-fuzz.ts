/**
 * Runs all compiled fuzz tests with random seeds until the time limit.
 * For each failure, prints its output and the command that reproduces it.
 *
 * Options: `--seconds N` (default 60), `--only TEXT` (substring of the path), `--runs N` (cases per seed, default 200).
 */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {InputError} from '#core';
import {findTests} from '#tooling';

type FuzzRun = {readonly file: string; readonly seed: number; readonly passed: boolean; readonly output: string};

const JOBS = 2;
const MAX_SEED = 2 ** 31;

const {values} = parseArgs({
	options: {
		seconds: {type: 'string', default: '60'},
		only: {type: 'string', default: ''},
		runs: {type: 'string', default: '200'},
	},
});
const deadline = performance.now() + (parseInteger('seconds', values.seconds) * 1000);
const runsPerSeed = parseInteger('runs', values.runs);
const files = findTests('target').filter(file => file.endsWith('.fuzz.test.js') && file.includes(values.only));
if (files.length === 0) {
	throw new InputError(`no fuzz test matches ${JSON.stringify(values.only)}`);
}

let nextIndex = 0;
const finishedRuns: FuzzRun[] = [];
await Promise.all(Array.from({length: Math.min(JOBS, files.length)}, async () => runWorker()));

for (const file of files) {
	const fileRuns = finishedRuns.filter(run => run.file === file);
	console.log(`${file}: ${fileRuns.length} seeds of ${runsPerSeed} cases, ${fileRuns.filter(run => !run.passed).length} failed`);
}

process.exitCode = finishedRuns.every(run => run.passed) ? 0 : 1;

async function runWorker(): Promise<void> {
	while (performance.now() < deadline) {
		const file = files[nextIndex % files.length]!;
		nextIndex += 1;
		const run = await runOnce(file, randomInt(MAX_SEED));
		finishedRuns.push(run);
		if (!run.passed) {
			console.log(run.output);
			console.log(`failed; reproduce with: FUZZ_SEED=${run.seed} FUZZ_RUNS=${runsPerSeed} node ${run.file}`);
		}
	}
}

async function runOnce(file: string, seed: number): Promise<FuzzRun> {
	const child = spawn(process.execPath, [file], {
		env: {...process.env, FUZZ_SEED: String(seed), FUZZ_RUNS: String(runsPerSeed)},
		stdio: ['ignore', 'pipe', 'pipe'],
	});
	const chunks: string[] = [];
	const appendOutput = (text: string) => {
		chunks.push(text);
	};

	child.stdout.setEncoding('utf8').on('data', appendOutput);
	child.stderr.setEncoding('utf8').on('data', appendOutput);

	return new Promise((resolve, reject) => {
		child.on('error', reject);
		child.on('close', code => {
			resolve({
				file, seed, passed: code === 0, output: chunks.join(''),
			});
		});
	});
}

function parseInteger(name: string, text: string): number {
	if (!/^\d+$/.test(text)) {
		throw new InputError(`--${name}: read ${JSON.stringify(text)}, allowed: a whole number`);
	}

	return Number(text);
}
