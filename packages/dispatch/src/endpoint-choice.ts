/**
 * Chooses the endpoint of one attempt. Answers the load of groups that run in lock-step, where the fullest rank sets the
 * pace of all, and of plain services with few slots, with several entries that choose at once: the endpoint with the smallest
 * share of its slots taken among a few is chosen, counting the requests of all entries.
 */

/** An endpoint that an attempt may go to. */
export type Candidate = {
	readonly id: string;
	/** Requests that run at once. */
	readonly slots: number;
	/** Requests there from all entries at which it takes no more of this kind. */
	readonly maxInFlight: number;
	/** Requests there from all entries, as far as known. */
	readonly inFlight: number;
	/** Share of its latest attempts that failed, in [0, 1]. */
	readonly failureRatio: number;
	/** Whether it failed or was full a moment ago. */
	readonly isInBackoff: boolean;
};

/** Failure ratio below which endpoints count as equally sound: services fail some requests everywhere. */
const TOLERATED_FAILURE_RATIO = 0.3;

/** A failing endpoint counts as if this many times its slots were taken, in proportion to its failure ratio. */
const FAILURE_PENALTY = 3;

/** Cost of a candidate; lower is better. */
function costOf(candidate: Candidate): number {
	const excess = Math.max(0, candidate.failureRatio - TOLERATED_FAILURE_RATIO);
	return ((candidate.inFlight + 1) / Math.max(1, candidate.slots)) + (excess * FAILURE_PENALTY);
}

/**
 * Endpoints that are compared. Several entries that all choose the emptiest endpoint, by counts some hundred ms old, fill
 * it at the same moment; a few at random spread their choices and still miss the full ones.
 */
const SAMPLE_SIZE = 4;

/**
 * Picks the cheapest of a few candidates at random, or of all if those are full. Avoided ones are picked only if there is no
 * other.
 *
 * @param random - In [0, 1).
 */
export function chooseEndpoint<Endpoint extends Candidate>(candidates: readonly Endpoint[], random: () => number): Endpoint | undefined {
	const sound = candidates.filter(candidate => !candidate.isInBackoff);
	const pool = sound.length > 0 ? sound : candidates;
	const some = cheapest(sample(pool, SAMPLE_SIZE, random), random);
	return some === undefined || some.inFlight < Math.min(some.slots, some.maxInFlight) ? some : cheapest(pool, random);
}

/** The cheapest candidate, at random among equals. */
function cheapest<Endpoint extends Candidate>(candidates: readonly Endpoint[], random: () => number): Endpoint | undefined {
	let best: Endpoint | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	let equals = 0;
	for (const candidate of candidates) {
		const cost = costOf(candidate);
		if (cost < bestCost - 1e-9) {
			best = candidate;
			bestCost = cost;
			equals = 1;
		} else if (cost <= bestCost + 1e-9) {
			equals += 1;
			if (random() * equals < 1) {
				best = candidate;
			}
		}
	}

	return best;
}

/** Up to `count` different items at random. */
function sample<Item>(items: readonly Item[], count: number, random: () => number): readonly Item[] {
	if (items.length <= count) {
		return items;
	}

	const rest = [...items];
	return Array.from({length: count}, () => rest.splice(Math.floor(random() * rest.length), 1)[0]!);
}
