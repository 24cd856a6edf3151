/**
 * How long bytes may have waited before they were read. Node has no arrival times, but what had arrived at a poll of the event loop
 * is delivered by that poll: the time since the last one, without the time in which the loop had nothing to do, is an upper bound.
 */
import type {Socket} from 'node:net';
import {elapsedMs, type Instant} from '#dispatch';

/** Interval at which polls are marked, in ms. The loop cannot be idle for longer, unless the process was paused. */
const MARK_INTERVAL_MS = 100;

export type ReadDelayClock = {
	readonly now: () => Instant;
	/** Total time in which the event loop had nothing to do, in ms. */
	readonly idleMs: () => number;
	/** Calls back when the current poll of the event loop, or the next one, has delivered its events. */
	readonly afterPoll: (callback: () => void) => void;
};

/** When a request that was just read arrived. */
export type Arrival = {
	/** At the earliest: time that is handed on counts from it, so that it is never more than what is left. */
	readonly earliest: Instant;
	/** At the latest: when it was read. The request's own end counts from it, so that it is never before its time. */
	readonly latest: Instant;
	/** Time for which it waited before it was read, at most, in ms. */
	readonly readDelayMs: number;
};

/** A moment whose earlier bytes have all been delivered. */
type Mark = {readonly at: Instant; readonly idleMs: number};

export class ReadDelay {
	static create(clock: ReadDelayClock): ReadDelay {
		return new ReadDelay(clock);
	}

	#mark: Mark;
	#lastTick: Mark;
	/** The tick before the last one. */
	#earlierTick: Mark;
	/** Whether a poll is being marked for the requests that were just read. */
	#isMarking = false;
	#accepts = 0;
	/** Since when there may have been connections to accept; undefined if there are none. Node accepts one per poll. */
	#backlogSince: Instant | undefined;
	/** When connections arrived that have not been polled since they were accepted; their bytes may have waited as long. */
	readonly #unpolled = new Map<Socket, Instant>();
	readonly #clock: ReadDelayClock;

	private constructor(clock: ReadDelayClock) {
		this.#clock = clock;
		this.#mark = {at: clock.now(), idleMs: clock.idleMs()};
		this.#lastTick = this.#mark;
		this.#earlierTick = this.#mark;
	}

	/**
	 * Marks polls until the signal aborts.
	 *
	 * @param onLoopDelay - Called with the delay of the event loop's timers, in ms, at each mark.
	 */
	start(signal: AbortSignal, onLoopDelay: (delayMs: number) => void): void {
		const timer = setInterval(() => {
			onLoopDelay(this.tick());
		}, MARK_INTERVAL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
	}

	/** Marks the next poll; called by a timer every `MARK_INTERVAL_MS`. Returns how late the timer is, in ms. */
	tick(): number {
		const mark = {at: this.#clock.now(), idleMs: this.#clock.idleMs()};
		const delayMs = elapsedMs(this.#lastTick.at, mark.at) - MARK_INTERVAL_MS;
		this.#earlierTick = this.#lastTick;
		this.#lastTick = mark;
		this.#clock.afterPoll(() => {
			this.#mark = mark;
		});
		return Math.max(0, delayMs);
	}

	/** Registers a connection when it is accepted. */
	recordAccept(connection: Socket): void {
		this.#accepts += 1;
		const count = this.#accepts;
		this.#backlogSince ??= this.#earliestArrival();
		this.#unpolled.set(connection, this.#backlogSince);
		this.#markNextPoll(() => {
			this.#unpolled.delete(connection);
			if (this.#accepts === count) {
				this.#backlogSince = undefined;
			}
		});
	}

	/**
	 * Time for which a signal that is being handled may have waited, in ms. After a pause of the process it may come some polls late, since
	 * another thread may have taken it: it counts from the mark of the timer before the last one.
	 */
	signalDelayMs(): number {
		const idleMs = Math.min(2 * MARK_INTERVAL_MS, this.#clock.idleMs() - this.#earlierTick.idleMs);
		return Math.max(0, elapsedMs(this.#earlierTick.at, this.#clock.now()) - idleMs);
	}

	/** Time for which there may have been connections to accept, in ms. */
	backlogAgeMs(): number {
		return this.#backlogSince === undefined ? 0 : elapsedMs(this.#backlogSince, this.#clock.now());
	}

	/** Registers that connections that are accepted from now on arrived after `instant`. */
	recordBacklogProbe(instant: Instant): void {
		if (this.#backlogSince !== undefined) {
			this.#backlogSince = instant;
		}
	}

	/** Arrival of bytes that were just read from a connection. */
	arrivalOn(connection: Socket): Arrival {
		const latest = this.#clock.now();
		const earliest = this.#unpolled.get(connection) ?? this.#earliestArrival();
		if (!this.#isMarking) {
			this.#isMarking = true;
			this.#markNextPoll(() => {
				this.#isMarking = false;
			});
		}

		return {earliest, latest, readDelayMs: elapsedMs(earliest, latest)};
	}

	/** Marks the poll after the current one, which does not wait. */
	#markNextPoll(onMarked: () => void): void {
		const {now, idleMs, afterPoll} = this.#clock;
		afterPoll(() => {
			const mark = {at: now(), idleMs: idleMs()};
			afterPoll(() => {
				this.#mark = mark;
				onMarked();
			});
		});
	}

	#earliestArrival(): Instant {
		const now = this.#clock.now();
		// Longer idleness is a pause of the process, during which bytes did wait.
		const idleMs = Math.min(MARK_INTERVAL_MS, this.#clock.idleMs() - this.#mark.idleMs);
		const delayMs = Math.max(0, elapsedMs(this.#mark.at, now) - idleMs);
		return {monotonicMs: now.monotonicMs - delayMs, wallMs: now.wallMs - delayMs};
	}
}
