/**
 * Whether the groups behind a service run. Answers the load of a group that has lost a rank: all its ranks refuse until
 * it has formed again, some seconds later, so requests sent meanwhile only use up their attempts. They wait here
 * instead for as long as their callers would, and the rest is told when to come back.
 */
import type {EntryJournal} from './events.js';
import {sleep} from '#core';
import type {EndpointRecord} from '#dispatch';

/** Asks the agent beside an endpoint whether its group runs; undefined if there is no answer. */
export type GroupProbe = (endpoint: EndpointRecord) => Promise<boolean | undefined>;

export type GroupWatchParts = {
	readonly probe: GroupProbe;
	readonly endpointsOf: (service: string) => readonly EndpointRecord[];
	readonly journal: EntryJournal;
	readonly random: () => number;
};

/** Time between two probes of a stopped group, in ms: short against the seconds that it takes to form. */
const PROBE_MS = 120;

/** Endpoints that are asked in one probe: one may be the rank that was lost. */
const PROBED_ENDPOINTS = 3;

/** A service that nobody answers for counts as running after this time, in ms, so that a lost agent never stops it. */
const LONGEST_SILENCE_MS = 1500;

export class GroupWatch {
	/** Watches until the signal aborts. */
	static create(parts: GroupWatchParts, signal: AbortSignal): GroupWatch {
		return new GroupWatch(parts, signal);
	}

	readonly #stopped = new Set<string>();
	readonly #checking = new Map<string, Promise<void>>();
	readonly #waiting = new Map<string, Set<() => void>>();
	readonly #parts: GroupWatchParts;
	readonly #signal: AbortSignal;

	private constructor(parts: GroupWatchParts, signal: AbortSignal) {
		this.#parts = parts;
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

		let checking = this.#checking.get(service);
		if (checking === undefined) {
			checking = this.#probe(service).then(isRunning => {
				this.#checking.delete(service);
				if (isRunning === false) {
					this.#noteStopped(service);
				}
			});
			this.#checking.set(service, checking);
		}

		await checking;
	}

	/** Waits until the service runs. Returns false at once if `backlog` requests wait already, else when `ms` have passed or the signal aborts. */
	async waitUntilRunning(service: string, {ms, backlog, signal}: {readonly ms: number; readonly backlog: number; readonly signal: AbortSignal}): Promise<boolean> {
		if (!this.#stopped.has(service)) {
			return true;
		}

		const waiting = this.#waiting.get(service) ?? new Set();
		this.#waiting.set(service, waiting);
		if (waiting.size >= backlog) {
			return false;
		}

		const ended = new AbortController();
		const end = () => {
			ended.abort();
		};

		waiting.add(end);
		signal.addEventListener('abort', end, {once: true});
		await sleep(ms, ended.signal);
		waiting.delete(end);
		signal.removeEventListener('abort', end);
		return !this.#stopped.has(service);
	}

	#noteStopped(service: string): void {
		this.#stopped.add(service);
		this.#parts.journal.record({
			kind: 'dependency', dependency: `groups of ${service}`, isReachable: false, detail: 'a rank is missing',
		});
		void this.#watch(service);
	}

	async #watch(service: string): Promise<void> {
		let lastAnswer = performance.now();
		while (!this.#signal.aborted) {
			await sleep(PROBE_MS, this.#signal);
			const isRunning = await this.#probe(service);
			if (isRunning !== undefined) {
				lastAnswer = performance.now();
			}

			if (isRunning === true || performance.now() - lastAnswer > LONGEST_SILENCE_MS) {
				this.#noteRunning(service);
				return;
			}
		}
	}

	#noteRunning(service: string): void {
		this.#stopped.delete(service);
		for (const end of this.#waiting.get(service) ?? []) {
			end();
		}

		this.#parts.journal.record({
			kind: 'dependency', dependency: `groups of ${service}`, isReachable: true, detail: '',
		});
	}

	/** Whether any group of the service runs; undefined if no agent answered. */
	async #probe(service: string): Promise<boolean | undefined> {
		const endpoints = [...this.#parts.endpointsOf(service)];
		const asked: EndpointRecord[] = [];
		while (asked.length < PROBED_ENDPOINTS && endpoints.length > 0) {
			asked.push(...endpoints.splice(Math.floor(this.#parts.random() * endpoints.length), 1));
		}

		const answers = await Promise.all(asked.map(async endpoint => this.#parts.probe(endpoint)));
		return answers.includes(true) ? true : (answers.includes(false) ? false : undefined);
	}
}
