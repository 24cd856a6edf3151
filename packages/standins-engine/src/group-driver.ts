/**
 * Drives the steps of a lock-step group on one timer. Each completed step advances the batches
 * of the engines that took part. The timer stops while no engine has work or a gate.
 */
import {performance} from 'node:perf_hooks';
import {LockStepGroup} from './lock-step-group.js';
import type {EngineRank} from './rank.js';
import {invariant} from '#core';

/** Minimum poll interval while ranks have not arrived at the barrier, in milliseconds. */
const MIN_POLL_MS = 1;

/** An engine whose batch advances with its rank. */
export type DrivenEngine = {
	readonly busy: boolean;
	/** Factor by which this engine, as a straggler, multiplies the step time of the whole group. */
	readonly slowFactor: number;
	/** Advances the batch by one step at `now` (ms); `step` is the completed step. */
	readonly advance: (now: number, step: number) => void;
};

export class GroupDriver {
	/** @param stepMs - Step time in milliseconds when no engine is slow. */
	static create(stepMs: number): GroupDriver {
		return new GroupDriver(stepMs);
	}

	/** The ranks and their completed steps. */
	readonly group = LockStepGroup.create([]);
	readonly #stepMs: number;
	readonly #engines = new Map<string, DrivenEngine>();
	#nextStepAt = 0;
	#timer: NodeJS.Timeout | undefined;

	private constructor(stepMs: number) {
		this.#stepMs = stepMs;
	}

	/** Monotonic time in milliseconds. */
	get now(): number {
		return performance.now();
	}

	/** Adds an engine and its rank. */
	join(rank: EngineRank, engine: DrivenEngine): void {
		this.group.add(rank);
		this.#engines.set(rank.id, engine);
		this.wake();
	}

	/** Removes an engine when it crashes or stops; the others wait at the barrier until it returns or the group re-forms. */
	leave(id: string): void {
		this.group.remove(id);
		this.#engines.delete(id);
	}

	/** The rank of an engine; undefined while the engine is down. */
	rank(id: string): EngineRank | undefined {
		return this.group.rank(id);
	}

	/** Starts the timer if an engine has work or a gate. */
	wake(): void {
		if (this.#timer !== undefined || !this.#active) {
			return;
		}

		const {now} = this;
		this.#nextStepAt = Math.max(this.#nextStepAt, now);
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#tick(this.now);
			this.wake();
		}, this.#nextStepAt - now);
	}

	/** Stops the timer. */
	close(): void {
		clearTimeout(this.#timer);
		this.#engines.clear();
	}

	get #active(): boolean {
		return [...this.#engines].some(([id, engine]) => engine.busy || this.rank(id)?.state(this.now).gate !== undefined);
	}

	#tick(now: number): void {
		const records = this.group.tick(now);
		const slowestFactor = Math.max(1, ...[...this.#engines.values()].map(engine => engine.slowFactor));
		const intervalMs = records.length === 0 ? Math.max(MIN_POLL_MS, Math.min(this.#stepMs, 5)) : this.#stepMs * slowestFactor;
		// A late timer is compensated by at most one step, so that a pause is not followed by a burst of steps.
		this.#nextStepAt = Math.max(this.#nextStepAt + intervalMs, now);
		for (const {maps, step} of records) {
			for (const id of maps.keys()) {
				const engine = this.#engines.get(id);
				invariant(engine !== undefined || this.rank(id) === undefined, `group driver: rank ${id} has no engine`);
				engine?.advance(now, step);
			}
		}
	}
}
