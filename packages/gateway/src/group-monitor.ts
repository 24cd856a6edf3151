/**
 * Whether the groups behind a service run. Answers the load of a group that has lost a rank: all its ranks refuse until
 * it has formed again, some seconds later, so requests sent meanwhile only use up their attempts. They wait here
 * instead for as long as their callers would, and the rest is told when to come back.
 */
import type {EntryEventLog} from './event-log.js';
import {sleep} from '#core';
import type {EndpointRecord} from '#dispatch';

/** Asks the agent beside an endpoint whether its group runs; undefined if there is no answer. */
export type GroupProbe = (endpoint: EndpointRecord) => Promise<boolean | undefined>;

export type GroupMonitorOptions = {
	readonly probe: GroupProbe;
	readonly endpointsOf: (service: string) => readonly EndpointRecord[];
	readonly events: EntryEventLog;
	readonly random: () => number;
};

/** Time between two probes of a stopped group, in ms: short against the seconds that it takes to form. */
const PROBE_INTERVAL_MS = 120;

/** Endpoints that are asked in one probe: one may be the rank that was lost. */
const ENDPOINTS_PER_PROBE = 3;

/** A service that nobody answers for counts as running after this time, in ms, so that a lost agent never stops it. */
const NO_ANSWER_TIMEOUT_MS = 1500;

export class GroupMonitor {
	/** Watches until the signal aborts. */
	static create(parts: GroupMonitorOptions, signal: AbortSignal): GroupMonitor {
		return new GroupMonitor(parts, signal);
	}

	readonly #stopped = new Set<string>();
	readonly #pendingChecks = new Map<string, Promise<void>>();
	readonly #waiters = new Map<string, Set<() => void>>();
	readonly #options: GroupMonitorOptions;
	readonly #signal: AbortSignal;

	private constructor(parts: GroupMonitorOptions, signal: AbortSignal) {
		this.#options = parts;
		this.#signal = signal;
	}

	/** Whether the service is known to be stopped. */
	isStopped(service: string): boolean {
		return this.#stopped.has(service);
	}

	/** Checks a service after an endpoint refused; settles when it is known whether the service runs. */
	async check(service: string): Promise<void> {
		if (this.#stopped.has(service)) {
			return;
		}

		let checking = this.#pendingChecks.get(service);
		if (checking === undefined) {
			checking = this.#probe(service).then(isRunning => {
				this.#pendingChecks.delete(service);
				if (isRunning === false) {
					this.#noteStopped(service);
				}
			});
			this.#pendingChecks.set(service, checking);
		}

		await checking;
	}

	/** Waits until the service runs. Returns false at once if `backlog` requests wait already, else when `ms` have passed or the signal aborts. */
	async waitUntilRunning(service: string, {ms: timeoutMs, backlog: queueLimit, signal}: {readonly ms: number; readonly backlog: number; readonly signal: AbortSignal}): Promise<boolean> {
		if (!this.#stopped.has(service)) {
			return true;
		}

		const waiting = this.#waiters.get(service) ?? new Set();
		this.#waiters.set(service, waiting);
		if (waiting.size >= queueLimit) {
			return false;
		}

		const ended = new AbortController();
		const end = () => {
			ended.abort();
		};

		waiting.add(end);
		signal.addEventListener('abort', end, {once: true});
		await sleep(timeoutMs, ended.signal);
		waiting.delete(end);
		signal.removeEventListener('abort', end);
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
		let lastAnswer = performance.now();
		while (!this.#signal.aborted) {
			await sleep(PROBE_INTERVAL_MS, this.#signal);
			const isRunning = await this.#probe(service);
			if (isRunning !== undefined) {
				lastAnswer = performance.now();
			}

			if (isRunning === true || performance.now() - lastAnswer > NO_ANSWER_TIMEOUT_MS) {
				this.#noteRunning(service);
				return;
			}
		}
	}

	#noteRunning(service: string): void {
		this.#stopped.delete(service);
		for (const end of this.#waiters.get(service) ?? []) {
			end();
		}

		this.#options.events.record({
			kind: 'dependency', dependency: `groups of ${service}`, isReachable: true, detail: '',
		});
	}

	/** Whether any group of the service runs; undefined if no agent answered. */
	async #probe(service: string): Promise<boolean | undefined> {
		const endpoints = [...this.#options.endpointsOf(service)];
		const asked: EndpointRecord[] = [];
		while (asked.length < ENDPOINTS_PER_PROBE && endpoints.length > 0) {
			asked.push(...endpoints.splice(Math.floor(this.#options.random() * endpoints.length), 1));
		}

		const answers = await Promise.all(asked.map(async endpoint => this.#options.probe(endpoint)));
		return answers.includes(true) ? true : (answers.includes(false) ? false : undefined);
	}
}
