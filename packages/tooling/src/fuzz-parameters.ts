import process from 'node:process';
import {InputError} from '#core';

/** Parameters of a property test, named as fast-check names them. */
export type FuzzParameters = {
	/** The same seed and number of runs generate the same cases. */
	readonly seed: number;
	/** Number of cases. */
	readonly numRuns: number;
	/** Makes fast-check print all counterexamples found while shrinking. */
	readonly verbose: 1;
};

/**
 * Reads the seed and the number of runs from `FUZZ_SEED` and `FUZZ_RUNS`, with `defaults` for variables that are unset or empty.
 *
 * @throws InputError when a variable is not an integer.
 */
export function fuzzParameters(defaults: {readonly seed: number; readonly runs: number}): FuzzParameters {
	return {
		seed: readIntegerVariable('FUZZ_SEED') ?? defaults.seed,
		numRuns: readIntegerVariable('FUZZ_RUNS') ?? defaults.runs,
		verbose: 1,
	};
}

function readIntegerVariable(name: string): number | undefined {
	const text = process.env[name];
	if (text === undefined || text === '') {
		return undefined;
	}

	if (!/^-?\d+$/.test(text)) {
		throw new InputError(`${name}: read ${JSON.stringify(text)}, allowed: a whole number`);
	}

	return Number(text);
}
