/**
 * Synthetic expert loads of the two deployments: a slow, smooth drift (festival) and sudden jumps
 * (storm). Seeded; one value per layer and expert for each interval.
 */
import {unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator} from 'pure-rand';

/** Pattern of the load over time. */
export type ExpertLoadKind = 'festival' | 'storm';

/** Parameters of a workload. */
export type ExpertLoadOptions = {
	readonly kind: ExpertLoadKind;
	readonly seed: number;
	readonly layers: number;
	/** Experts per layer. */
	readonly experts: number;
	/** Length of an interval, in ms. */
	readonly intervalMs: number;
	/** Tokens in one step of the group. */
	readonly tokensPerStep: number;
	/** Standard deviation of the noise on observed loads, as a fraction of each load. */
	readonly noise: number;
};

/** Load of one interval in tokens per step: `load[layer][expert]`. */
export type ExpertLoad = ReadonlyArray<readonly number[]>;

/** Exponent of the Zipf distribution of the load over experts within one topic. */
const ZIPF_EXPONENT = 0.9;

/** Number of topics whose proportions change: languages of notices, or kinds of requests to the charge model. */
const TOPIC_COUNT = 3;

const HOUR_MS = 3_600_000;

/** Mean time between jumps of the storm load, in ms. */
const MEAN_JUMP_INTERVAL_MS = 1.5 * HOUR_MS;

/** A workload; call `trueLoad` and `observe` with increasing intervals. */
export class ExpertLoadSource {
	static create(options: ExpertLoadOptions): ExpertLoadSource {
		return new ExpertLoadSource(options);
	}

	readonly #options: ExpertLoadOptions;
	/** Generates the topics and the jumps. */
	readonly #random: RandomGenerator;
	/** Generates the noise; separate, so that the true load does not depend on which intervals are observed. */
	readonly #noiseRandom: RandomGenerator;
	/** Fraction of the load on each expert, by topic and layer. */
	readonly #topics: ReadonlyArray<ReadonlyArray<readonly number[]>>;
	/** Proportions of the topics in the storm load, by interval. */
	readonly #mixes: Array<readonly number[]> = [];

	private constructor(options: ExpertLoadOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		this.#noiseRandom = xoroshiro128plus(options.seed + 1);
		this.#topics = Array.from({length: TOPIC_COUNT}, () => Array.from({length: options.layers}, () => this.#createZipfShares()));
	}

	/** Actual load of the group in an interval. */
	trueLoad(interval: number): ExpertLoad {
		const mix = this.#options.kind === 'festival' ? this.#festivalMix(interval) : this.#stormMix(interval);
		return Array.from({length: this.#options.layers}, (_, layer) => Array.from({length: this.#options.experts}, (__, expert) => {
			let share = 0;
			for (const [topic, weight] of mix.entries()) {
				share += weight * (this.#topics[topic]?.[layer]?.[expert] ?? 0);
			}

			return share * this.#options.tokensPerStep;
		}));
	}

	/** Load of an interval as the engines report it, with noise. */
	observe(interval: number): ExpertLoad {
		return this.trueLoad(interval).map(loads => loads.map(load => load * Math.max(0, 1 + (this.#options.noise * this.#noise()))));
	}

	#uniform(random = this.#random): number {
		return unsafeUniformIntDistribution(0, 999_999, random) / 1_000_000;
	}

	/** Approximately normal noise with standard deviation 1: the sum of twelve uniform numbers, minus six. */
	#noise(): number {
		let sum = -6;
		for (let count = 0; count < 12; count++) {
			sum += this.#uniform(this.#noiseRandom);
		}

		return sum;
	}

	/** Zipf-distributed fractions in a random order of experts. */
	#createZipfShares(): readonly number[] {
		const shares = Array.from({length: this.#options.experts}, (_, index) => ({share: (index + 1) ** -ZIPF_EXPONENT, key: this.#uniform()}));
		const total = shares.reduce((sum, {share}) => sum + share, 0);
		return shares.toSorted((a, b) => a.key - b.key).map(({share}) => share / total);
	}

	/** Proportions of the three topics, which vary with periods of one and two days. */
	#festivalMix(interval: number): readonly number[] {
		const hours = interval * this.#options.intervalMs / HOUR_MS;
		const day = 0.5 + (0.5 * Math.sin(2 * Math.PI * hours / 24));
		const twoDays = 0.5 + (0.5 * Math.cos(2 * Math.PI * hours / 48));
		return normalise([0.3 + day, 0.3 + (1 - day), 0.3 + twoDays]);
	}

	#stormMix(interval: number): readonly number[] {
		while (this.#mixes.length <= interval) {
			const isJump = this.#mixes.length === 0 || this.#uniform() < this.#options.intervalMs / MEAN_JUMP_INTERVAL_MS;
			this.#mixes.push(isJump ? normalise(Array.from({length: TOPIC_COUNT}, () => this.#uniform() ** 2)) : this.#mixes.at(-1) ?? []);
		}

		return this.#mixes[interval] ?? [];
	}
}

function normalise(weights: readonly number[]): readonly number[] {
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	return weights.map(weight => weight / total);
}
