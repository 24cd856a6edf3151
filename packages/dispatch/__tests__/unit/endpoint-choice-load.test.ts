/** Simulates the choice of endpoints in large services: several entries choose concurrently, by counts of one another that are up to 200 ms old. */
import t from 'tap';
import {chooseEndpoint, type Candidate} from '#dispatch';
import {createRandom, type Random} from '#standins-engine';

type Load = {readonly entries: number; readonly endpoints: number; readonly slots: number; readonly perSecond: number};

type Choose = (candidates: readonly Candidate[], random: Random) => number;

/** Mean duration of a stream, in ms; half of it is fixed, the rest exponentially distributed. */
const STREAM_MS = 2200;

/** Interval between two reports of an entry, in ms. */
const REPORT_MS = 200;

const SIMULATED_MS = 30_000;

/** Simulates the load; returns the mean time that requests wait for a slot, in ms. */
function meanWait({entries, endpoints, slots, perSecond}: Load, choose: Choose, seed: number): number {
	const random = createRandom(seed);
	const exponential = (mean: number) => -Math.log(1 - random.next()) * mean;
	const own = Array.from({length: entries}, () => Array.from({length: endpoints}, () => 0));
	const reported = own.map(counts => [...counts]);
	const queues = Array.from({length: endpoints}, (): Array<{at: number; entry: number}> => []);
	const running = Array.from({length: endpoints}, () => 0);
	const events = EventQueue.create();
	let totalWaitMs = 0;
	let requests = 0;

	const start = (endpoint: number, entry: number, at: number) => {
		running[endpoint]! += 1;
		events.add(at + (STREAM_MS / 2) + exponential(STREAM_MS / 2), now => {
			running[endpoint]! -= 1;
			own[entry]![endpoint]! -= 1;
			const next = queues[endpoint]!.shift();
			if (next !== undefined) {
				totalWaitMs += now - next.at;
				start(endpoint, next.entry, now);
			}
		});
	};

	const arrive = (now: number) => {
		const entry = random.int(0, entries - 1);
		const candidates = running.map((_, endpoint): Candidate => ({
			id: String(endpoint), slots, maxInFlight: slots * 2, failureRatio: 0, isInBackoff: false, inFlight: own[entry]![endpoint]! + sumOf(reported.map((counts, other) => (other === entry ? 0 : counts[endpoint]!))),
		}));
		const endpoint = choose(candidates, random);
		requests += 1;
		own[entry]![endpoint]! += 1;
		if (running[endpoint]! < slots) {
			start(endpoint, entry, now);
		} else {
			queues[endpoint]!.push({at: now, entry});
		}

		events.add(now + exponential(1000 / perSecond), arrive);
	};

	for (const [entry, counts] of own.entries()) {
		const report = (now: number) => {
			reported[entry] = [...counts];
			events.add(now + REPORT_MS, report);
		};

		events.add(random.next() * REPORT_MS, report);
	}

	events.add(0, arrive);
	events.runUntil(SIMULATED_MS);
	return totalWaitMs / requests;
}

function sumOf(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

class EventQueue {
	static create(): EventQueue {
		return new EventQueue();
	}

	readonly #events: Array<{readonly at: number; readonly run: (now: number) => void}> = [];

	add(at: number, run: (now: number) => void): void {
		let [low, high] = [0, this.#events.length];
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			[low, high] = this.#events[middle]!.at > at ? [middle + 1, high] : [low, middle];
		}

		this.#events.splice(low, 0, {at, run});
	}

	runUntil(end: number): void {
		for (let next = this.#events.pop()!; next.at < end; next = this.#events.pop()!) {
			next.run(next.at);
		}
	}
}

const sampled: Choose = (candidates, random) => Number(chooseEndpoint(candidates, random.next)!.id);

const leastLoaded: Choose = (candidates, random) => {
	const ranks = candidates.map(({inFlight}) => inFlight + random.next());
	return ranks.indexOf(Math.min(...ranks));
};

const powerOfTwo: Choose = (candidates, random) => {
	const [a, b] = [random.int(0, candidates.length - 1), random.int(0, candidates.length - 1)];
	return candidates[a]!.inFlight <= candidates[b]!.inFlight ? a : b;
};

let nextIndex = 0;
const roundRobin: Choose = candidates => {
	nextIndex = (nextIndex + 1) % candidates.length;
	return nextIndex;
};

const loads: ReadonlyArray<Load & {readonly name: string}> = [
	{
		name: '63 replicas at 72 % utilization', entries: 12, endpoints: 63, slots: 7, perSecond: 145,
	},
	{
		name: '63 replicas at 82 % utilization', entries: 12, endpoints: 63, slots: 7, perSecond: 165,
	},
	{
		name: '12 replicas at 69 % utilization', entries: 6, endpoints: 12, slots: 8, perSecond: 30,
	},
];

for (const {name, ...load} of loads) {
	void t.test(`requests wait less than with other strategies: ${name}`, async t => {
		const mean = (choose: Choose) => sumOf([1, 2, 3].map(seed => meanWait(load, choose, seed))) / 3;
		const wait = mean(sampled);
		for (const [other, choose] of [['least loaded', leastLoaded], ['power of two choices', powerOfTwo], ['round robin', roundRobin]] as const) {
			const otherWait = mean(choose);
			t.ok(wait < otherWait, `${wait.toFixed(1)} ms, ${other}: ${otherWait.toFixed(1)} ms`);
		}

		t.ok(wait < 100, 'well below the target for the first event, 400 ms');
	});
}
