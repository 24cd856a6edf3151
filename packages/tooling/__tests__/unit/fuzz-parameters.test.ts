import process from 'node:process';
import t from 'tap';
import {fuzzParameters} from '#tooling';

await t.test('seed and runs are read from the environment, and values that are not integers throw', t => {
	const before = process.env;
	t.teardown(() => {
		process.env = before;
	});
	for (const [seed, runs, expected] of [['', '', {seed: 1, numRuns: 2}], ['-7', '30', {seed: -7, numRuns: 30}]] as const) {
		process.env = {...before, FUZZ_SEED: seed, FUZZ_RUNS: runs};
		t.match(fuzzParameters({seed: 1, runs: 2}), expected);
	}

	process.env = {...before, FUZZ_SEED: '1e3'};
	t.throws(() => fuzzParameters({seed: 1, runs: 2}), /FUZZ_SEED: read "1e3"/);
	t.end();
});
