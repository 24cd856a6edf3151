/**
 * State machine of one rank of a stand-in engine: executes the orders of `/v1/orders` and
 * takes part in the lock-step barrier. The time is passed in as `now` (ms).
 */
import type {
	EngineGate, EngineOrder, EngineState, OrderResponse, OrderRefusalReason,
} from '#expertmap';

/** Whether the engine refuses an order whose fencing token is lower than the highest it has seen. */
export type RankKind = 'checks-fence' | 'ignores-fence';

/** Options of a rank. */
export type RankOptions = {
	readonly id: string;
	readonly kind: RankKind;
	/** Initial epoch; a rank with epoch 0 has joined no barrier and waits for `reform`. */
	readonly epoch: number;
	/** Ids of the ranks in the barrier of that epoch. */
	readonly members: readonly string[];
	/** Version of the initial map; 0 for none. */
	readonly mapVersion: number;
	/** Initial step; default 0. */
	readonly step?: number;
	/** Load time of a prepared map from the weight store in ms; default 0. */
	readonly loadMs?: number;
};

/** One rank. It executes orders one at a time, so of `go` and `cancel` the first one executed takes effect. */
export class EngineRank {
	static create(options: RankOptions): EngineRank {
		return new EngineRank(options);
	}

	readonly id: string;
	readonly kind: RankKind;
	readonly #loadMs: number;
	#epoch: number;
	#members: readonly string[];
	#step: number;
	#mapVersion: number;
	#gate: EngineGate | undefined;
	#fence = 0;
	/** Time at which the load of each prepared version completes (ms). */
	readonly #loadedAt = new Map<number, number>();
	/** Highest epoch in which each version was dropped; a late `prepare` of that epoch must not load it again. */
	readonly #droppedInEpoch = new Map<number, number>();

	private constructor(options: RankOptions) {
		this.id = options.id;
		this.kind = options.kind;
		this.#epoch = options.epoch;
		this.#members = options.members;
		this.#mapVersion = options.mapVersion;
		this.#step = options.step ?? 0;
		this.#loadMs = options.loadMs ?? 0;
	}

	/** State as reported by `GET /v1/orders/state`. */
	state(now: number): EngineState {
		const prepared = [...this.#loadedAt].filter(([, at]) => at <= now).map(([version]) => version);
		return {
			epoch: this.#epoch,
			members: this.#members,
			step: this.#step,
			mapVersion: this.#mapVersion,
			prepared: prepared.toSorted((a, b) => a - b),
			...(this.#gate === undefined ? {} : {gate: this.#gate}),
			fence: this.#fence,
		};
	}

	/** True while the rank waits at its gate for `go` or `cancel`. */
	get isHeldAtGate(): boolean {
		return this.#gate !== undefined && !this.#gate.gone && this.#step >= this.#gate.step;
	}

	/** Step in progress, or the next one. */
	get step(): number {
		return this.#step;
	}

	/** Epoch of the barrier that the rank takes part in. */
	get epoch(): number {
		return this.#epoch;
	}

	/** Ids of the ranks in the barrier. */
	get members(): readonly string[] {
		return this.#members;
	}

	/** Executes an order. Orders are idempotent: repeating one that has taken effect succeeds. */
	order(order: EngineOrder, now: number): OrderResponse {
		const reason = this.#refusalReason(order, now);
		if (reason !== undefined) {
			return {kind: 'refused', reason, state: this.state(now)};
		}

		this.#fence = Math.max(this.#fence, order.fence);
		this.#execute(order, now);
		return {kind: 'done', state: this.state(now)};
	}

	/**
	 * Runs one step. The group calls it when all ranks of the barrier have arrived.
	 *
	 * @returns Version of the map that the step used.
	 */
	advance(): number {
		if (this.#gate?.gone === true && this.#step >= this.#gate.step) {
			this.#mapVersion = this.#gate.version;
			this.#loadedAt.delete(this.#gate.version);
			this.#gate = undefined;
		}

		this.#step += 1;
		return this.#mapVersion;
	}

	#isLoaded(version: number, now: number): boolean {
		return this.#mapVersion === version || (this.#loadedAt.get(version) ?? Infinity) <= now;
	}

	#refusalReason(order: EngineOrder, now: number): OrderRefusalReason | undefined {
		if (this.kind === 'checks-fence' && order.fence < this.#fence) {
			return 'fence';
		}

		switch (order.order) {
			case 'prepare': {
				const droppedInEpoch = this.#droppedInEpoch.get(order.version) ?? -1;
				return order.epoch < this.#epoch || order.epoch <= droppedInEpoch ? 'too-late' : undefined;
			}

			case 'gate': {
				return this.#gateRefusal(order, now);
			}

			case 'go': {
				return this.#goRefusal(order);
			}

			case 'cancel':
			case 'drop': {
				if (order.epoch !== this.#epoch) {
					return 'too-late';
				}

				const hasExecutedGo = this.#mapVersion === order.version || (this.#gate?.gone === true && this.#gate.version === order.version);
				if (hasExecutedGo) {
					return 'gone';
				}

				return order.order === 'drop' && this.#gate?.version === order.version ? 'too-late' : undefined;
			}

			case 'reform': {
				return this.#reformRefusal(order, now);
			}
		}
	}

	#gateRefusal(order: EngineOrder & {readonly order: 'gate' | 'go' | 'cancel'}, now: number): OrderRefusalReason | undefined {
		if (order.epoch !== this.#epoch) {
			return 'too-late';
		}

		if (this.#gate !== undefined) {
			const isSameGate = this.#gate.version === order.version && this.#gate.step === order.step;
			return isSameGate ? undefined : 'too-late';
		}

		if (this.#mapVersion === order.version) {
			return 'gone';
		}

		if (!this.#isLoaded(order.version, now)) {
			return 'not-prepared';
		}

		return order.step <= this.#step ? 'too-late' : undefined;
	}

	#goRefusal(order: EngineOrder & {readonly order: 'gate' | 'go' | 'cancel'}): OrderRefusalReason | undefined {
		if (order.epoch !== this.#epoch) {
			return 'too-late';
		}

		if (this.#mapVersion === order.version) {
			return undefined;
		}

		return this.#gate?.version === order.version && this.#gate.step === order.step ? undefined : 'no-gate';
	}

	#reformRefusal(order: EngineOrder & {readonly order: 'reform'}, now: number): OrderRefusalReason | undefined {
		if (order.epoch === this.#epoch) {
			return undefined;
		}

		if (order.epoch < this.#epoch || !order.members.includes(this.id)) {
			return 'too-late';
		}

		return this.#isLoaded(order.version, now) ? undefined : 'not-prepared';
	}

	#execute(order: EngineOrder, now: number): void {
		switch (order.order) {
			case 'prepare': {
				if (this.#mapVersion !== order.version && !this.#loadedAt.has(order.version)) {
					this.#loadedAt.set(order.version, now + this.#loadMs);
				}

				break;
			}

			case 'gate': {
				this.#gate ??= {version: order.version, step: order.step, gone: false};
				break;
			}

			case 'go': {
				if (this.#gate !== undefined && this.#mapVersion !== order.version) {
					this.#gate = {...this.#gate, gone: true};
				}

				break;
			}

			case 'cancel': {
				if (this.#gate?.version === order.version) {
					this.#gate = undefined;
				}

				break;
			}

			case 'drop': {
				this.#loadedAt.delete(order.version);
				this.#droppedInEpoch.set(order.version, Math.max(this.#epoch, this.#droppedInEpoch.get(order.version) ?? 0));
				break;
			}

			case 'reform': {
				this.#reform(order, now);
				break;
			}
		}
	}

	/** Enters a new epoch. The previous map stays loaded, because the new epoch may fail to form. */
	#reform(order: EngineOrder & {readonly order: 'reform'}, now: number): void {
		if (order.epoch === this.#epoch) {
			return;
		}

		if (this.#mapVersion !== 0 && this.#mapVersion !== order.version) {
			this.#loadedAt.set(this.#mapVersion, now);
		}

		this.#loadedAt.delete(order.version);
		this.#epoch = order.epoch;
		this.#members = order.members;
		this.#mapVersion = order.version;
		this.#step = order.step;
		this.#gate = undefined;
	}
}
