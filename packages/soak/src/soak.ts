/**
 * The soak test: load and overlapping faults from a seeded generator while the platform's guarantees are checked,
 * then a period without faults after which every request must be served.
 */
import {Callers} from './callers.js';
import {InvariantChecker, type SoakCounts} from './invariant-checker.js';
import type {
	CallObserver, FaultKind, SoakBounds, SoakDeployment,
} from './types.js';
import {sleep} from '#core';
import {createRandom, type Random} from '#standins-engine';

export type SoakOptions = {
	readonly seed: number;
	/** Duration of fault injection, in ms. */
	readonly faultsMs: number;
	readonly bounds: SoakBounds;
	/** Starts the processes; their back ends report events to the observer. */
	readonly deploy: (observer: InvariantChecker, random: Random) => Promise<SoakDeployment>;
	readonly log: (line: string) => void;
};

export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly string[];
	readonly counts: SoakCounts;
	/** Number of injected faults by name. */
	readonly faults: Readonly<Record<string, number>>;
	/** Totals of the processes by name. */
	readonly processes: Readonly<Record<string, number>>;
	/** Longest event loop delay of this process, in ms; time limits can't be checked more precisely than that. */
	readonly stallMs: number;
};

/** Interval between requests, in ms. */
const REQUEST_INTERVAL_MS = 12;

/** Interval between injected faults, in ms; short enough that several overlap. */
const FAULT_INTERVAL_MS = {min: 100, max: 900} as const;

/** Time without faults after which all requests must be served, in ms; the platform allows 12 s or more for recovery. */
const RECOVERY_MS = 8000;

/** Number of requests to each entry at the end, all of which must be served. */
const FINAL_ROUNDS = 15;

/** Interval of the timer that measures the event loop delay, in ms. */
const DELAY_POLL_MS = 50;

export async function runSoak({seed, faultsMs, bounds, deploy, log}: SoakOptions): Promise<SoakReport> {
	const random = createRandom(seed);
	const loadEnd = new AbortController();
	const delayMonitor = EventLoopDelayMonitor.create(loadEnd.signal);
	const checker = InvariantChecker.create({bounds, now: () => performance.now()});
	const deployment = await deploy(checker, random);
	const callers = deployment.load ?? Callers.create({
		site: deployment, observer: observeCalls(deployment, checker), random: createRandom(seed + 1), intervalMs: REQUEST_INTERVAL_MS,
	});
	const load = callers.run(loadEnd.signal);
	const injected = await injectFaults(deployment.faults, random, faultsMs, log);
	await deployment.calm();
	await sleep(RECOVERY_MS);
	loadEnd.abort();
	await load;
	const failed = await callers.probe(FINAL_ROUNDS);
	callers.close();
	await deployment.close();
	return {
		seed,
		violations: [
			...checker.violations,
			...deployment.findings(),
			...(failed > 0 ? [`${failed} requests were not served ${RECOVERY_MS} ms after the last fault`] : []),
		],
		counts: checker.counts(),
		faults: injected,
		processes: deployment.processCounts(),
		stallMs: Math.round(delayMonitor.maxMs),
	};
}

function observeCalls(deployment: SoakDeployment, checker: InvariantChecker): CallObserver {
	return {
		sent(attempt) {
			checker.sent(attempt);
		},
		ended(attempt, outcome, endedAt) {
			const entry = deployment.entries().find(({name}) => name === attempt.entry)!;
			// A process that is paused or killed can't answer in time; the injected fault causes that.
			const isFaultCaused = outcome.kind === 'hung' && entry.disturbedAt() >= attempt.sentAt;
			checker.ended(attempt.id, isFaultCaused ? {kind: 'closed', reason: 'entry disturbed'} : outcome, entry.judgeLoss(attempt, endedAt));
		},
	};
}

/** Injects random faults for `durationMs`; resolves once all of them have ended. Returns their number by name. */
async function injectFaults(faultKinds: readonly FaultKind[], random: Random, durationMs: number, log: (line: string) => void): Promise<Readonly<Record<string, number>>> {
	const counts: Record<string, number> = {};
	const endAt = performance.now() + durationMs;
	const active = new Set<Promise<void>>();
	while (performance.now() < endAt) {
		const kind = faultKinds[random.int(0, faultKinds.length - 1)]!;
		const faultMs = random.int(0, kind.maxDurationMs);
		const fault = await kind.inject(random);
		if (fault !== undefined) {
			counts[kind.name] = (counts[kind.name] ?? 0) + 1;
			log(`${Math.round(performance.now())} ms: ${kind.name} ${fault.detail} for ${faultMs} ms`);
			const ended = sleep(faultMs).then(fault.end).finally(() => {
				active.delete(ended);
			});
			active.add(ended);
		}

		await sleep(random.int(FAULT_INTERVAL_MS.min, FAULT_INTERVAL_MS.max));
	}

	await Promise.all(active);
	return counts;
}

/** Measures the event loop delay of the process. */
export class EventLoopDelayMonitor {
	static create(signal: AbortSignal): EventLoopDelayMonitor {
		const monitor = new EventLoopDelayMonitor();
		let lastAt = performance.now();
		const timer = setInterval(() => {
			const now = performance.now();
			monitor.maxMs = Math.max(monitor.maxMs, now - lastAt - DELAY_POLL_MS);
			lastAt = now;
		}, DELAY_POLL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
		return monitor;
	}

	maxMs = 0;
}
