/** Tokens per expert, with a skewed popularity that a fault can shift, like seasonal changes. */

/** Tokens per layer and expert since the engine was created. */
export type ExpertLoad = {readonly step: number; readonly layers: ReadonlyArray<readonly number[]>};

export class ExpertCounter {
	/** @param random - Source of numbers in [0, 1). */
	static create(layers: number, experts: number, random: () => number): ExpertCounter {
		return new ExpertCounter(layers, experts, random);
	}

	readonly #layers: number[][];

	private constructor(layers: number, private readonly experts: number, private readonly random: () => number) {
		this.#layers = Array.from({length: layers}, () => Array.from({length: experts}, () => 0));
	}

	/** Counts one token, which is routed to one expert in each layer; low positions are more popular. */
	countToken(shift: number): void {
		for (const [index, layer] of this.#layers.entries()) {
			const position = Math.floor(this.experts * (this.random() ** 2));
			const expert = (position + shift + (index * 7)) % this.experts;
			layer[expert] = (layer[expert] ?? 0) + 1;
		}
	}

	/** A copy of the counters. */
	snapshot(step: number): ExpertLoad {
		return {step, layers: this.#layers.map(layer => [...layer])};
	}
}
