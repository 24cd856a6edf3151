import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Seeded random number generator for stand-ins and load: the same seed gives the same sequence. */
export type Random = {
	/** A number in [0, 1). */
	readonly next: () => number;
	/** An integer between `min` and `max`, both included. */
	readonly int: (min: number, max: number) => number;
};

const RESOLUTION = 2 ** 30;

/** Creates a random number generator from an integer seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		next: () => unsafeUniformIntDistribution(0, RESOLUTION - 1, generator) / RESOLUTION,
		int: (min, max) => unsafeUniformIntDistribution(min, max, generator),
	};
}
