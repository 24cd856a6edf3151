/**
 * The owner of a process's life: its signals, its start, its stop and its end. It imports nothing that takes time to evaluate, so
 * that the signals are handled before the modules of the program are loaded; those are imported by `load`.
 */
import process from 'node:process';
import type {EndCause, EndLog} from './end-log.js';
import type {LogFields, Logger} from '#telemetry';

/** What a started program does. */
export type Service = {
	/** Stops gracefully; settles when no work is left, or when its time is over. Called once. */
	readonly stop: () => Promise<void>;
	/** Called after SIGHUP, also for one that came during the start. */
	readonly reload: () => void;
	/** Whether work is open that the end of the process would cut. */
	readonly isBusy: () => boolean;
	/** Describes the work that is open now, bounded in size. */
	readonly describeOpen: () => LogFields;
};

/** A program whose settings are read. */
export type Program = {
	readonly logger: Logger;
	/** Time from the signal to stop until the process is killed, in ms; infinite if it is not. */
	readonly graceMs: number;
	/**
	 * Starts the service. Once `signal` aborts, since a stop was requested, it ends its waiting: it rejects with the reason of the signal
	 * after it has closed what it opened, or settles with a service that has taken work, which is then stopped.
	 */
	readonly start: (signal: AbortSignal) => Promise<Service>;
};

/** A program, or why its settings do not permit to start it. */
export type LoadedProgram
	= | {readonly kind: 'loaded'; readonly program: Program}
		| {readonly kind: 'settings-invalid'; readonly error: unknown; readonly logger: Logger};

const FAILED_EXIT_CODE = 1;
const INVALID_SETTINGS_EXIT_CODE = 2;

/** The process ends this long before it would be killed, in ms. */
const END_MARGIN_MS = 150;

/** Interval at which work that is left after a failed stop is looked at, in ms. */
const BUSY_POLL_MS = 50;

type ReceivedSignal = {readonly signal: NodeJS.Signals; readonly isStop: boolean};

export class ProcessLife {
	/** Takes over SIGTERM and SIGINT, which stop the process, and SIGHUP. Signals that come before `run` are remembered. */
	static create(): ProcessLife {
		const life = new ProcessLife();
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				life.#receive({signal, isStop: true});
			});
		}

		process.on('SIGHUP', () => {
			life.#receive({signal: 'SIGHUP', isStop: false});
		});
		return life;
	}

	readonly #stop = new AbortController();
	readonly #stopRequested: Promise<void>;
	/** Signals that are not logged yet. */
	readonly #unlogged: ReceivedSignal[] = [];
	#stopRequestedAt: number | undefined;
	#endLog: EndLog | undefined;
	#service: Service | undefined;
	#hasMissedReload = false;

	private constructor() {
		this.#stopRequested = new Promise(resolve => {
			this.#stop.signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
	}

	/**
	 * Loads and starts a program, stops it on request and ends the process: with code 0 after a stop, 2 if the settings are not valid,
	 * and 1 if the start or the stop failed. The last line of the log names the cause. Rejects if `load` does.
	 */
	async run(load: () => Promise<LoadedProgram>): Promise<never> {
		const {EndLog} = await import('./end-log.js');
		const loaded = await load();
		const {logger} = loaded.kind === 'loaded' ? loaded.program : loaded;
		this.#endLog = EndLog.create({logger: logger.child('process'), describeOpen: () => this.#service?.describeOpen() ?? {}});
		for (const received of this.#unlogged) {
			this.#endLog.recordSignal(received.signal, received.isStop);
		}

		if (loaded.kind === 'settings-invalid') {
			return this.#end({kind: 'start-failed', error: loaded.error}, INVALID_SETTINGS_EXIT_CODE);
		}

		const {program} = loaded;
		const service = await this.#start(program);
		this.#service = service;
		if (this.#hasMissedReload) {
			this.#reload();
		}

		await this.#stopRequested;
		try {
			await service.stop();
		} catch (error) {
			this.#endLog.recordFailure('stop', error);
			await this.#finishWork(service, program.graceMs);
			return this.#end({kind: 'stop-failed', error}, FAILED_EXIT_CODE);
		}

		return this.#end({kind: 'stopped'}, 0);
	}

	async #start(program: Program): Promise<Service> {
		const {signal} = this.#stop;
		try {
			signal.throwIfAborted();
			return await program.start(signal);
		} catch (error) {
			return signal.aborted && error === signal.reason ? this.#end({kind: 'stopped'}, 0) : this.#end({kind: 'start-failed', error}, FAILED_EXIT_CODE);
		}
	}

	/** Waits until no work is open, at most until the process would be killed. */
	async #finishWork(service: Service, graceMs: number): Promise<void> {
		const deadline = (this.#stopRequestedAt ?? performance.now()) + graceMs - END_MARGIN_MS;
		while (service.isBusy() && performance.now() < deadline) {
			await new Promise(resolve => {
				setTimeout(resolve, BUSY_POLL_MS);
			});
		}
	}

	#receive(received: ReceivedSignal): void {
		if (this.#endLog === undefined) {
			this.#unlogged.push(received);
		} else {
			this.#endLog.recordSignal(received.signal, received.isStop);
		}

		if (!received.isStop) {
			this.#reload();
		} else if (this.#stopRequestedAt === undefined) {
			this.#stopRequestedAt = performance.now();
			this.#stop.abort();
		}
	}

	#reload(): void {
		if (this.#service === undefined) {
			this.#hasMissedReload = true;
			return;
		}

		try {
			this.#service.reload();
		} catch (error) {
			this.#endLog?.recordFailure('reload', error);
		}
	}

	#end(cause: EndCause, code: number): never {
		this.#endLog?.setCause(cause);
		// eslint-disable-next-line unicorn/no-process-exit -- Ends the process for all programs.
		process.exit(code);
	}
}
