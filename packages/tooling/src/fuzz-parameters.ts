import process from 'node:process';
import {InputError} from '#core';

/** Parameters of a property test, in the names of fast-check. */
export type FuzzParameters = {
	/** Seed; the same seed and number of runs give the same cases. */
	readonly seed: number;
	/** Number of cases. */
	readonly numRuns: number;
	/** Shrunk counterexamples are printed in full. */
	readonly verbose: 1;
};

/**
 * Takes seed and number of runs from `FUZZ_SEED` and `FUZZ_RUNS` if they are set, else the given ones.
 *
 * @throws InputError when a variable is not a whole number.
 */
export function fuzzParameters(fixed: {readonly seed: number; readonly runs: number}): FuzzParameters {
	return {
		seed: numberFrom('FUZZ_SEED') ?? fixed.seed,
		numRuns: numberFrom('FUZZ_RUNS') ?? fixed.runs,
		verbose: 1,
	};
}

function numberFrom(name: string): number | undefined {
	const text = process.env[name];
	if (text === undefined || text === '') {
		return undefined;
	}

	if (!/^-?\d+$/.test(text)) {
		throw new InputError(`${name}: read ${JSON.stringify(text)}, allowed: a whole number`);
	}

	return Number(text);
}
