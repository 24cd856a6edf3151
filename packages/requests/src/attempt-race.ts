/** Attempts of one request that may overlap: when one is silent, another is made beside it, and the first to deliver wins. */
import {setMaxListeners} from 'node:events';

/** Why all attempts of a request end. */
export type RaceStop
	/** The caller disconnected. */
	= | 'caller-left'
	/** The time of the request is over. */
		| 'deadline'
	/** The entry stops, and its requests have to end. */
		| 'stopping';

export type RaceEvent<End, Source>
	/** An attempt has ended by itself. */
	= | {readonly kind: 'ended'; readonly end: End}
		/** An attempt has thrown. */
		| {readonly kind: 'threw'; readonly error: unknown}
		/** The source of an attempt is silent; the attempt goes on. */
		| {readonly kind: 'silent'; readonly source: Source}
		| {readonly kind: 'stopped'; readonly stop: RaceStop};

/** An attempt as it sees the race that it takes part in. */
export type RacingAttempt<Source> = {
	/** Aborts when another attempt has won (with the reason `lost`) or the race is over (with that of the stop). */
	readonly signal: AbortSignal;
	/**
	 * Claims the caller, before anything is sent to it: aborts all other attempts before it returns. Returns false, and changes
	 * nothing, if another attempt has won or the race is over.
	 */
	readonly claim: () => boolean;
	/** Notes that its source is silent; counts once until the attempt claims the caller or is noted as active. */
	readonly noteSilent: (source: Source) => void;
	/** Notes that its source has sent something that is not for the caller. */
	readonly noteActive: () => void;
};

export type AttemptRaceOptions = {
	/** Without it, attempts go on after the caller has left. */
	readonly callerDisconnected?: AbortSignal | undefined;
	/** Aborts when a stopping entry has to answer. The race goes on if `mayOutlast` returns true then. */
	readonly answersDue?: AbortSignal | undefined;
	readonly mayOutlast?: (() => boolean) | undefined;
	/** Aborts when the requests of a stopping entry have to end. */
	readonly requestsEnded?: AbortSignal | undefined;
	/** Time until the race stops, in ms; unlimited without it. */
	readonly timeoutMs?: number | undefined;
	/** Called with the exception of an attempt that was aborted. */
	readonly onLateError: (error: unknown) => void;
};

type OpenAttempt<Source> = RacingAttempt<Source> & {isSilent: boolean; readonly abort: (reason: RaceStop | 'lost') => void};

/** `End` is what an attempt settles with, `Source` where its response comes from. */
export class AttemptRace<End, Source> {
	static create<End, Source>(options: AttemptRaceOptions): AttemptRace<End, Source> {
		return new AttemptRace(options);
	}

	readonly #open = new Set<OpenAttempt<Source>>();
	readonly #events: Array<RaceEvent<End, Source>> = [];
	#wake: (() => void) | undefined;
	readonly #closing = new AbortController();
	#deadlineTimer: NodeJS.Timeout | undefined;
	readonly #onLateError: (error: unknown) => void;

	private constructor({callerDisconnected, answersDue, mayOutlast = () => false, requestsEnded, timeoutMs, onLateError}: AttemptRaceOptions) {
		this.#onLateError = onLateError;
		if (timeoutMs !== undefined) {
			this.stopWithin(timeoutMs);
		}

		this.#closing.signal.addEventListener('abort', () => {
			clearTimeout(this.#deadlineTimer);
		}, {once: true});
		this.#stopOn(requestsEnded, 'stopping');
		this.#stopOn(answersDue, 'stopping', () => !mayOutlast());
		this.#stopOn(callerDisconnected, 'caller-left');
	}

	/** Whether an attempt has not ended yet. */
	get isAnyOpen(): boolean {
		return this.#open.size > 0;
	}

	/** Whether an attempt has not ended and is not silent. */
	get isAnyActive(): boolean {
		return [...this.#open].some(({isSilent}) => !isSilent);
	}

	/** Starts an attempt, which settles when it has ended; what comes of it after it was aborted is dropped. */
	start(run: (attempt: RacingAttempt<Source>) => Promise<End>): void {
		const attempt = this.#openAttempt();
		void run(attempt).then(end => {
			this.#finish(attempt, {kind: 'ended', end});
		}, (error: unknown) => {
			if (!this.#finish(attempt, {kind: 'threw', error})) {
				this.#onLateError(error);
			}
		});
	}

	/** Replaces the time until the race stops, in ms. */
	stopWithin(timeoutMs: number): void {
		clearTimeout(this.#deadlineTimer);
		this.#deadlineTimer = setTimeout(() => {
			this.#stop('deadline');
		}, Math.max(0, timeoutMs));
	}

	/** Settles with the next event. Nothing follows a stop. */
	async next(): Promise<RaceEvent<End, Source>> {
		while (this.#events.length === 0) {
			await new Promise<void>(resolve => {
				this.#wake = resolve;
			});
		}

		return this.#events.shift()!;
	}

	/** Aborts what has not ended. Nothing may be started afterwards. */
	close(): void {
		this.#closing.abort();
		this.#abortOpen('lost');
	}

	#openAttempt(): OpenAttempt<Source> {
		const controller = new AbortController();
		// An attempt listens in several places.
		setMaxListeners(0, controller.signal);
		const attempt: OpenAttempt<Source> = {
			signal: controller.signal,
			isSilent: false,
			claim: () => this.#claim(attempt),
			noteSilent: source => {
				if (!attempt.isSilent && this.#open.has(attempt)) {
					attempt.isSilent = true;
					this.#push({kind: 'silent', source});
				}
			},
			noteActive() {
				attempt.isSilent = false;
			},
			abort(reason) {
				controller.abort(reason);
			},
		};
		if (this.#closing.signal.aborted) {
			controller.abort('lost');
		} else {
			this.#open.add(attempt);
		}

		return attempt;
	}

	#claim(winner: OpenAttempt<Source>): boolean {
		if (!this.#open.has(winner)) {
			return false;
		}

		winner.isSilent = false;
		this.#abortOpen('lost', winner);
		return true;
	}

	/** Aborts all attempts but one. */
	#abortOpen(reason: RaceStop | 'lost', winner?: OpenAttempt<Source>): void {
		for (const attempt of this.#open) {
			if (attempt !== winner) {
				this.#open.delete(attempt);
				attempt.abort(reason);
			}
		}
	}

	/** Returns whether the attempt had not been aborted. */
	#finish(attempt: OpenAttempt<Source>, event: RaceEvent<End, Source>): boolean {
		const wasOpen = this.#open.delete(attempt);
		if (wasOpen) {
			this.#push(event);
		}

		return wasOpen;
	}

	#stopOn(signal: AbortSignal | undefined, stop: RaceStop, isStopping = () => true): void {
		if (signal === undefined) {
			return;
		}

		if (signal.aborted) {
			this.#stop(stop);
			return;
		}

		const handleAbort = () => {
			if (isStopping()) {
				this.#stop(stop);
			}
		};

		signal.addEventListener('abort', handleAbort, {once: true});
		// Node forgets to remove a listener by its own `signal` option if several are pending when garbage is collected.
		this.#closing.signal.addEventListener('abort', () => {
			signal.removeEventListener('abort', handleAbort);
		}, {once: true});
	}

	#stop(stop: RaceStop): void {
		this.#abortOpen(stop);
		this.close();
		this.#events.length = 0;
		this.#push({kind: 'stopped', stop});
	}

	#push(event: RaceEvent<End, Source>): void {
		this.#events.push(event);
		this.#wake?.();
	}
}
