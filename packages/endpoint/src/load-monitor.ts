/** Current load of the back end, for load reports and other messages to entries. */
import {setTimeout as sleep} from 'node:timers/promises';
import {type EngineClient, type EngineLoad} from '#engine';
import {type WireLoad} from '#protocol';

/** Interval at which the engine's load is polled. */
const POLL_INTERVAL_MS = 500;

/** Rate reported for a service, which has no token rate; each call counts as one token. */
const SERVICE_TOKENS_PER_SECOND = 1000;

/** Load known to this process immediately, without the engine's reporting lag. */
export type LocalLoad = {
	readonly queuedTokens: number;
	readonly running: number;
	readonly leaving: boolean;
};

export type LoadMonitorOptions = {
	/** Undefined for a plain service, which reports no load. */
	readonly engine: EngineClient | undefined;
	/** Called for each report. */
	readonly readLocalLoad: () => LocalLoad;
	/** Called with each load that is read from the engine. */
	readonly onLoad: (load: EngineLoad) => void;
	readonly signal: AbortSignal;
};

export class LoadMonitor {
	/** Starts polling the engine's load. */
	static create(options: LoadMonitorOptions): LoadMonitor {
		const monitor = new LoadMonitor(options);
		if (options.engine !== undefined) {
			void monitor.#poll(options.engine, options.signal);
		}

		return monitor;
	}

	readonly #onLoad: (load: EngineLoad) => void;
	readonly #readLocalLoad: () => LocalLoad;
	#engineLoad: EngineLoad | undefined;
	#cachedPrefixes = 0;
	#nextCacheEvent = 0;

	private constructor({readLocalLoad, onLoad}: LoadMonitorOptions) {
		this.#readLocalLoad = readLocalLoad;
		this.#onLoad = onLoad;
	}

	/** Load last read from the engine. */
	get engineLoad(): EngineLoad | undefined {
		return this.#engineLoad;
	}

	/** Load in wire format: the current local load, combined with the engine's lagging values. */
	get wireLoad(): WireLoad {
		const {queuedTokens, running, leaving} = this.#readLocalLoad();
		const engine = this.#engineLoad;
		return [
			Math.round(queuedTokens + (engine?.queuedTokens ?? 0)),
			running,
			Math.round(engine?.tokensPerSecond ?? SERVICE_TOKENS_PER_SECOND),
			engine?.stepMs ?? 0,
			this.#cachedPrefixes,
			leaving,
		];
	}

	async #poll(engine: EngineClient, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const [load] = await Promise.all([engine.load(), this.#readCacheEvents(engine)]);
			if (load.kind === 'ok') {
				this.#engineLoad = load.value;
				this.#onLoad(load.value);
			}

			try {
				await sleep(POLL_INTERVAL_MS, undefined, {signal, ref: false});
			} catch {
				return;
			}
		}
	}

	/** Counts cached prefixes. Events arrive late and with gaps, so the count is an estimate that never goes below 0. */
	async #readCacheEvents(engine: EngineClient): Promise<void> {
		const events = await engine.cacheEvents(this.#nextCacheEvent);
		if (events.kind === 'failed') {
			return;
		}

		this.#nextCacheEvent = events.value.next;
		for (const event of events.value.events) {
			this.#cachedPrefixes = Math.max(0, this.#cachedPrefixes + (event.kind === 'stored' ? 1 : -1));
		}
	}
}
