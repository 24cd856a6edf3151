/** One soak: load, seeded faults that overlap, promises checked meanwhile, and a calm end in which all must be served. */
import {Callers} from './callers.js';
import {Ledger, type LedgerCounts} from './ledger.js';
import type {
	BackEndObserver, FaultKind, SoakBounds, SoakDeployment,
} from './types.js';
import {sleep} from '#core';
import {createRandom, type Random} from '#standins-engine';

export type SoakOptions = {
	readonly seed: number;
	/** Time under faults, in ms. */
	readonly faultsMs: number;
	readonly bounds: SoakBounds;
	/** Starts the processes; their back ends tell the observer what they see. */
	readonly deploy: (observer: BackEndObserver, random: Random) => Promise<SoakDeployment>;
	readonly log: (line: string) => void;
};

export type SoakReport = {
	readonly seed: number;
	readonly violations: readonly string[];
	readonly counts: LedgerCounts;
	/** Faults struck, by name. */
	readonly faults: Readonly<Record<string, number>>;
	/** Longest time that this process itself stood still, in ms: bounds on time say nothing beyond it. */
	readonly stallMs: number;
};

/** Load of a soak: a request so often, in ms. */
const REQUEST_EVERY_MS = 12;

/** Time between two faults, in ms: several overlap. */
const FAULT_EVERY_MS = {least: 100, most: 900} as const;

/** Time without faults before all must be served, in ms: the platform gives 12 s or more to recover. */
const RECOVERY_MS = 8000;

/** Requests to each entry that must all be served at the end. */
const FINAL_ROUNDS = 15;

/** Time between two looks at this process's own pace, in ms. */
const STALL_POLL_MS = 50;

export async function runSoak({seed, faultsMs, bounds, deploy, log}: SoakOptions): Promise<SoakReport> {
	const random = createRandom(seed);
	const stop = new AbortController();
	const stall = StallWatch.create(stop.signal);
	const ledger = Ledger.create({bounds, now: () => performance.now()});
	const deployment = await deploy(ledger, random);
	const callers = Callers.create({
		deployment, ledger, random: createRandom(seed + 1), everyMs: REQUEST_EVERY_MS,
	});
	const load = callers.run(stop.signal);
	const struck = await strikeFaults(deployment.faults, random, faultsMs, log);
	await sleep(RECOVERY_MS);
	stop.abort();
	await load;
	const missed = await callers.probe(FINAL_ROUNDS);
	callers.close();
	await deployment.close();
	return {
		seed,
		violations: [
			...ledger.violations,
			...deployment.findings(),
			...(missed > 0 ? [`${missed} requests were not served ${RECOVERY_MS} ms after the last fault`] : []),
		],
		counts: ledger.counts(),
		faults: struck,
		stallMs: Math.round(stall.longestMs),
	};
}

/** Strikes until the time is up; all faults have ended when it returns. */
async function strikeFaults(kinds: readonly FaultKind[], random: Random, forMs: number, log: (line: string) => void): Promise<Readonly<Record<string, number>>> {
	const struck: Record<string, number> = {};
	const endAt = performance.now() + forMs;
	const lasting = new Set<Promise<void>>();
	while (performance.now() < endAt) {
		const kind = kinds[random.int(0, kinds.length - 1)]!;
		const lastMs = random.int(0, kind.longestMs);
		const fault = await kind.begin(random);
		if (fault !== undefined) {
			struck[kind.name] = (struck[kind.name] ?? 0) + 1;
			log(`${Math.round(performance.now())} ms: ${kind.name} ${fault.detail} for ${lastMs} ms`);
			const lasts = sleep(lastMs).then(fault.end).finally(() => {
				lasting.delete(lasts);
			});
			lasting.add(lasts);
		}

		await sleep(random.int(FAULT_EVERY_MS.least, FAULT_EVERY_MS.most));
	}

	await Promise.all(lasting);
	return struck;
}

/** Measures how late this process's own timers are. */
class StallWatch {
	static create(signal: AbortSignal): StallWatch {
		const watch = new StallWatch();
		let lastAt = performance.now();
		const timer = setInterval(() => {
			const now = performance.now();
			watch.longestMs = Math.max(watch.longestMs, now - lastAt - STALL_POLL_MS);
			lastAt = now;
		}, STALL_POLL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
		return watch;
	}

	longestMs = 0;
}
