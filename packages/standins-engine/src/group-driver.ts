/**
 * Drives the steps of a lock-step group: one timer, and each completed step advances the
 * batches of the engines that took part. It rests while no engine has work and none has a gate.
 */
import {performance} from 'node:perf_hooks';
import {LockStepGroup} from './lock-step-group.js';
import type {EngineRank} from './rank.js';
import {invariant} from '#core';

/** Shortest wait for a rank that has not arrived at the barrier, in milliseconds. */
const MIN_POLL_MS = 1;

/** An engine whose batch advances with its rank. */
export type DrivenEngine = {
	readonly busy: boolean;
	/** Multiplies the step time of the whole group, as a straggler does. */
	readonly slowFactor: number;
	/** Runs one step of the batch at `now`; `step` is the step that was completed. */
	readonly advance: (now: number, step: number) => void;
};

export class GroupDriver {
	/** @param stepMs - Time of one step in milliseconds when no engine is slow. */
	static create(stepMs: number): GroupDriver {
		return new GroupDriver(stepMs);
	}

	/** The ranks and the history of their steps. */
	readonly group = LockStepGroup.create([]);
	readonly #stepMs: number;
	readonly #engines = new Map<string, DrivenEngine>();
	#nextStepAt = 0;
	#timer: NodeJS.Timeout | undefined;

	private constructor(stepMs: number) {
		this.#stepMs = stepMs;
	}

	/** Milliseconds on a clock that does not jump. */
	get now(): number {
		return performance.now();
	}

	/** Adds an engine with its rank. */
	join(rank: EngineRank, engine: DrivenEngine): void {
		this.group.add(rank);
		this.#engines.set(rank.id, engine);
		this.wake();
	}

	/** Removes an engine, as when its process dies; the others wait for it or re-form. */
	leave(id: string): void {
		this.group.remove(id);
		this.#engines.delete(id);
	}

	/** The rank of an engine that has joined; undefined while it is down. */
	rank(id: string): EngineRank | undefined {
		return this.group.rank(id);
	}

	/** Continues stepping if there is anything to do. */
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
		const slowest = Math.max(1, ...[...this.#engines.values()].map(engine => engine.slowFactor));
		const period = records.length === 0 ? Math.max(MIN_POLL_MS, Math.min(this.#stepMs, 5)) : this.#stepMs * slowest;
		// A late timer is made up for by at most one step, so a pause does not cause a burst.
		this.#nextStepAt = Math.max(this.#nextStepAt + period, now);
		for (const {maps, step} of records) {
			for (const id of maps.keys()) {
				const engine = this.#engines.get(id);
				invariant(engine !== undefined || this.rank(id) === undefined, `group driver: rank ${id} has no engine`);
				engine?.advance(now, step);
			}
		}
	}
}
