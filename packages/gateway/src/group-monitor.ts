/**
 * Monitors whether the groups behind a service run. When a group loses a rank, all its ranks refuse requests for some seconds
 * until it has formed again, and requests sent meanwhile would only use up their attempts. A limited number of requests waits
 * here as long as their callers would; the others are refused with a time to retry.
 */
import type {EntryEventLog} from './event-log.js';
import {sleep} from '#core';
import type {EndpointRecord} from '#dispatch';

/** Asks the agent next to an endpoint whether its group runs; undefined if there is no response. */
export type GroupProbe = (endpoint: EndpointRecord) => Promise<boolean | undefined>;

export type GroupMonitorOptions = {
	readonly probe: GroupProbe;
	readonly endpointsOf: (service: string) => readonly EndpointRecord[];
	readonly events: EntryEventLog;
	readonly random: () => number;
};

/** Interval between two probes of a stopped group, in ms: short compared with the seconds that it takes to form. */
const PROBE_INTERVAL_MS = 120;

/** Number of endpoints asked in one probe: one of them may be the lost rank. */
const ENDPOINTS_PER_PROBE = 3;

/** A service for which no agent responds counts as running after this time, in ms, so that a lost agent does not keep it stopped. */
const NO_RESPONSE_TIMEOUT_MS = 1500;

export class GroupMonitor {
	/** Creates a monitor that runs until the signal aborts. */
	static create(options: GroupMonitorOptions, signal: AbortSignal): GroupMonitor {
		return new GroupMonitor(options, signal);
	}

	readonly #stopped = new Set<string>();
	readonly #pendingChecks = new Map<string, Promise<void>>();
	/** What wakes the waiting requests, and whether each one counts. */
	readonly #waiters = new Map<string, Map<() => void, boolean>>();
	readonly #options: GroupMonitorOptions;
	readonly #signal: AbortSignal;

	private constructor(options: GroupMonitorOptions, signal: AbortSignal) {
		this.#options = options;
		this.#signal = signal;
	}

	/** Whether the service is known to be stopped. */
	isStopped(service: string): boolean {
		return this.#stopped.has(service);
	}

	/** Checks a service after an endpoint refused a request; settles when the result is known. */
	async check(service: string): Promise<void> {
		if (this.#stopped.has(service)) {
			return;
		}

		let pendingCheck = this.#pendingChecks.get(service);
		if (pendingCheck === undefined) {
			pendingCheck = this.#probe(service).then(isRunning => {
				this.#pendingChecks.delete(service);
				if (isRunning === false) {
					this.#noteStopped(service);
				}
			});
			this.#pendingChecks.set(service, pendingCheck);
		}

		await pendingCheck;
	}

	/**
	 * Waits until the service runs. Returns false immediately if `queueLimit` requests are already waiting, otherwise after `timeoutMs`
	 * or when the signal aborts. Without a limit it does not count: a request in progress holds its place already.
	 */
	async waitUntilRunning(service: string, {timeoutMs, queueLimit, signal}: {readonly timeoutMs: number; readonly queueLimit: number | undefined; readonly signal: AbortSignal}): Promise<boolean> {
		if (!this.#stopped.has(service)) {
			return true;
		}

		const waiters = this.#waiters.get(service) ?? new Map<() => void, boolean>();
		this.#waiters.set(service, waiters);
		if (queueLimit !== undefined && [...waiters.values()].filter(Boolean).length >= queueLimit) {
			return false;
		}

		if (signal.aborted) {
			return false;
		}

		const wakeController = new AbortController();
		const wake = () => {
			wakeController.abort();
		};

		waiters.set(wake, queueLimit !== undefined);
		signal.addEventListener('abort', wake, {once: true});
		await sleep(timeoutMs, wakeController.signal);
		waiters.delete(wake);
		signal.removeEventListener('abort', wake);
		return !this.#stopped.has(service);
	}

	#noteStopped(service: string): void {
		this.#stopped.add(service);
		this.#options.events.record({
			kind: 'dependency', dependency: `groups of ${service}`, isReachable: false, detail: 'a rank is missing',
		});
		void this.#watch(service);
	}

	async #watch(service: string): Promise<void> {
		let lastResponseAt = performance.now();
		while (!this.#signal.aborted) {
			await sleep(PROBE_INTERVAL_MS, this.#signal);
			const isRunning = await this.#probe(service);
			if (isRunning !== undefined) {
				lastResponseAt = performance.now();
			}

			if (isRunning === true || performance.now() - lastResponseAt > NO_RESPONSE_TIMEOUT_MS) {
				this.#noteRunning(service);
				return;
			}
		}
	}

	#noteRunning(service: string): void {
		this.#stopped.delete(service);
		for (const wake of this.#waiters.get(service)?.keys() ?? []) {
			wake();
		}

		this.#options.events.record({
			kind: 'dependency', dependency: `groups of ${service}`, isReachable: true, detail: '',
		});
	}

	/** Whether any group of the service runs; undefined if no agent responded. */
	async #probe(service: string): Promise<boolean | undefined> {
		const endpoints = [...this.#options.endpointsOf(service)];
		const sampled: EndpointRecord[] = [];
		while (sampled.length < ENDPOINTS_PER_PROBE && endpoints.length > 0) {
			sampled.push(...endpoints.splice(Math.floor(this.#options.random() * endpoints.length), 1));
		}

		const probes = sampled.map(async endpoint => this.#probeEndpoint(endpoint));
		// The first group that runs decides: an agent that stands still responds only by its timeout.
		const firstRunning = new Promise<true>(resolve => {
			for (const probe of probes) {
				void probe.then(isRunning => {
					if (isRunning === true) {
						resolve(true);
					}
				});
			}
		});
		const all = Promise.all(probes).then(responses => responses.includes(true) ? true : (responses.includes(false) ? false : undefined));
		return Promise.race([firstRunning, all]);
	}

	/** An exception counts as no response, so that waiting requests go on. */
	async #probeEndpoint(endpoint: EndpointRecord): Promise<boolean | undefined> {
		try {
			return await this.#options.probe(endpoint);
		} catch (error) {
			this.#options.events.errorListener('group-probe')(error);
			return undefined;
		}
	}
}
