/** Load of the back end as this endpoint process knows it, for reports and answers. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type EngineClient, type EngineLoad} from '#engine';
import {type WireLoad} from '#protocol';

/** Interval at which the engine's load is read. */
const READ_INTERVAL_MS = 500;

/** A service has no token rate; each call counts as one token. */
const SERVICE_RATE_PER_SECOND = 1000;

/** Numbers that the process itself knows at once, without the engine's lag. */
export type LocalLoad = {
	readonly queuedTokens: number;
	readonly running: number;
	readonly leaving: boolean;
};

export type LoadMonitorOptions = {
	/** Undefined for a plain service, which reports no load. */
	readonly engine: EngineClient | undefined;
	/** Read at each report. */
	readonly local: () => LocalLoad;
	/** Called with each load read from the engine. */
	readonly onLoad: (load: EngineLoad) => void;
	readonly signal: AbortSignal;
};

export class LoadMonitor {
	/** Starts reading the engine's load. */
	static create(options: LoadMonitorOptions): LoadMonitor {
		const monitor = new LoadMonitor(options);
		if (options.engine !== undefined) {
			void monitor.#run(options.engine, options.signal);
		}

		return monitor;
	}

	readonly #onLoad: (load: EngineLoad) => void;
	readonly #local: () => LocalLoad;
	#engineLoad: EngineLoad | undefined;
	#cached = 0;
	#cacheEvents = 0;

	private constructor({local, onLoad}: LoadMonitorOptions) {
		this.#local = local;
		this.#onLoad = onLoad;
	}

	/** Last load read from the engine. */
	get engineLoad(): EngineLoad | undefined {
		return this.#engineLoad;
	}

	/** Load for a report or an answer: what the process knows now, and the engine's lagging rates. */
	get wire(): WireLoad {
		const {queuedTokens, running, leaving} = this.#local();
		const engine = this.#engineLoad;
		return [
			Math.round(queuedTokens + (engine?.queuedTokens ?? 0)),
			running,
			Math.round(engine?.tokensPerSecond ?? SERVICE_RATE_PER_SECOND),
			engine?.stepMs ?? 0,
			this.#cached,
			leaving,
		];
	}

	async #run(engine: EngineClient, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const [load] = await Promise.all([engine.load(), this.#readCacheEvents(engine)]);
			if (load.kind === 'ok') {
				this.#engineLoad = load.value;
				this.#onLoad(load.value);
			}

			try {
				await sleep(READ_INTERVAL_MS, undefined, {signal, ref: false});
			} catch {
				return;
			}
		}
	}

	/** Counts prefixes held. Events come late and with gaps, so the number is an estimate that never goes below 0. */
	async #readCacheEvents(engine: EngineClient): Promise<void> {
		const events = await engine.cacheEvents(this.#cacheEvents);
		if (events.kind === 'failed') {
			return;
		}

		this.#cacheEvents = events.value.next;
		for (const event of events.value.events) {
			this.#cached = Math.max(0, this.#cached + (event.kind === 'stored' ? 1 : -1));
		}
	}
}
