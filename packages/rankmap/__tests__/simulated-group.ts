/** Simulated group of ranks that follows the platform's rules for orders, for tests with lost, late or duplicate orders. */
import type {GroupMap, ObservedRank, RankOrder} from '#rankmap';

type Rank = {
	sequence: number; map: number; content: string; highest: number; prepared: number | undefined; preparedContent: string; copying: {version: number; content: string} | undefined; armed: {version: number; step: number} | undefined; held: number | undefined;
};

/** Result of an order. */
export type OrderResult = 200 | 202 | 409;

export class SimulatedGroup {
	static create(size: number): SimulatedGroup {
		return new SimulatedGroup(size);
	}

	epoch = 1;
	step = 0;
	passesHeld = 0;
	/** Number of steps that used another map than the step before. */
	switches = 0;
	#ranks: Rank[] = [];
	readonly #size: number;

	private constructor(size: number) {
		this.#size = size;
		this.#reset();
	}

	/** Restarts the group after the crash of a rank: a new epoch with map 0. */
	reform(): void {
		this.epoch += 1;
		this.#reset();
	}

	state(rank: number): ObservedRank {
		const {sequence, map, prepared, armed, held, copying} = this.#ranks[rank]!;
		return {
			group: 'g', epoch: this.epoch, rank, isOpen: true, size: this.#size, sequence, step: this.step, map, prepared, armed, heldStep: held, pace: 1, running: 0, queued: 0, isBusy: copying !== undefined, isLagging: false,
		};
	}

	/** Completes the copies in progress on a rank. */
	finishCopy(rank: number): void {
		const state = this.#ranks[rank]!;
		if (state.copying !== undefined) {
			state.prepared = state.copying.version;
			state.preparedContent = state.copying.content;
			state.copying = undefined;
		}
	}

	/** Begins a forward pass unless the group is held. Throws if two ranks would use different maps. */
	pass(): void {
		const next = this.step + 1;
		if (this.#ranks.some(({held}) => held === next)) {
			this.passesHeld += 1;
			return;
		}

		this.step = next;
		this.passesHeld = 0;
		this.switches += this.#ranks.some(({armed}) => armed?.step === next) ? 1 : 0;
		for (const rank of this.#ranks) {
			if (rank.armed?.step === next) {
				rank.map = rank.armed.version;
				rank.content = rank.preparedContent;
				rank.armed = undefined;
			}
		}

		const maps = new Set(this.#ranks.map(({map, content}) => `${map} ${content}`));
		if (maps.size > 1) {
			throw new Error(`step ${next} began with ${[...maps].join(' and ')}`);
		}
	}

	/** Executes an order immediately. */
	execute(order: RankOrder): OrderResult {
		const rank = this.#ranks[order.rank]!;
		if (order.epoch !== this.epoch || order.sequence !== rank.sequence) {
			return 409;
		}

		const result = this.#apply(rank, order.action);
		rank.sequence += result === 202 ? 1 : 0;
		return result;
	}

	#apply(rank: Rank, action: RankOrder['action']): OrderResult {
		switch (action.kind) {
			case 'prepare': {
				if (action.version <= rank.highest || rank.armed !== undefined || rank.copying !== undefined) {
					return 409;
				}

				rank.highest = action.version;
				rank.prepared = undefined;
				rank.copying = {version: action.version, content: contentOf(action.map)};
				return 202;
			}

			case 'arm': {
				if (rank.armed?.version === action.version && rank.armed.step === action.step) {
					return 200;
				}

				if (rank.prepared !== action.version || action.step <= this.step) {
					return 409;
				}

				rank.armed = {version: action.version, step: action.step};
				return 202;
			}

			case 'hold': {
				if (rank.held === action.step) {
					return 200;
				}

				if (rank.held !== undefined || action.step <= this.step) {
					return 409;
				}

				rank.held = action.step;
				return 202;
			}

			case 'go': {
				if (rank.held !== action.step) {
					return 409;
				}

				rank.held = undefined;
				return 202;
			}
		}
	}

	#reset(): void {
		this.#ranks = Array.from({length: this.#size}, () => ({
			sequence: 0, map: 0, content: '', highest: 0, prepared: undefined, preparedContent: '', copying: undefined, armed: undefined, held: undefined,
		}));
	}
}

function contentOf(map: GroupMap): string {
	return JSON.stringify(map);
}
