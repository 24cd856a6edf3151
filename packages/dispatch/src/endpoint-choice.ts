/**
 * Chooses the endpoint of one attempt by the power of d choices: among a few endpoints sampled at random, the one with the
 * smallest share of its slots taken, counting the requests of all entries. This serves groups that run in lockstep, where
 * the fullest rank slows down all others, and services with few slots whose entries choose concurrently.
 */

import type {EndpointPaceEstimate} from './endpoint-pace.js';

/** An endpoint that an attempt may be sent to. */
export type Candidate = {
	readonly id: string;
	/** Number of requests that it runs concurrently. */
	readonly slots: number;
	/** Number of requests in flight from all entries at which the endpoint accepts no more of this kind. */
	readonly maxInFlight: number;
	/** Requests in flight from all entries, as far as known. */
	readonly inFlight: number;
	/** Moving average of the share of failed attempts, in [0, 1]. */
	readonly failureRatio: number;
	/** Whether it recently failed or was full. */
	readonly isInBackoff: boolean;
	/** Whether its zone is at its limit, so that it gets a stream only if no endpoint of another zone has room. */
	readonly isInFullZone?: boolean;
	/** What was learned of its speed; undefined for a service whose endpoints count as equally fast. */
	readonly pace?: EndpointPaceEstimate | undefined;
	/** Whether it is known to be cold. */
	readonly isCold?: boolean;
};

/** Failure ratio up to which endpoints count as equally healthy: some requests fail at every endpoint of a service. */
const TOLERATED_FAILURE_RATIO = 0.3;

/** Weight of the failure ratio in the cost: a failing endpoint costs as much as if this many times its slots were taken. */
const FAILURE_PENALTY = 3;

/** Cost of a cold endpoint relative to a warm one: an entry may send it about half as many requests, and it takes longer for each. */
const COLD_COST_RATIO = 2;

/** Cost of a candidate; lower is better. */
function costOf(candidate: Candidate): number {
	const excessRatio = Math.max(0, candidate.failureRatio - TOLERATED_FAILURE_RATIO);
	const {pace} = candidate;
	const coldRatio = candidate.isCold === true ? COLD_COST_RATIO : 1;
	if (pace === undefined) {
		return (coldRatio * (candidate.inFlight + 1) / Math.max(1, candidate.slots)) + (excessRatio * FAILURE_PENALTY);
	}

	// Requests beyond what an endpoint handles well wait or slow one another down. A fast one that fails is no better than a slow one that fails.
	const usedShare = (candidate.inFlight + 1) / Math.max(1, Math.min(candidate.slots, pace.limit));
	return (coldRatio * pace.relativeTime * (1 + usedShare)) + (excessRatio * FAILURE_PENALTY * Math.max(1, pace.relativeTime));
}

/**
 * Number of candidates that are compared. If all entries chose the least loaded endpoint, by counts that are some hundred ms
 * old, they would fill it at the same time; a small random sample spreads their choices and still avoids full endpoints.
 */
const SAMPLE_SIZE = 4;

/**
 * Picks the cheapest candidate of a random sample, or of all if the sample has no free one. Candidates in backoff are picked
 * only if there are no others. With learned limits or full zones, candidates with room precede all without.
 *
 * @param random - Returns numbers in [0, 1).
 */
export function chooseEndpoint<Endpoint extends Candidate>(candidates: readonly Endpoint[], random: () => number): Endpoint | undefined {
	const eligible = eligibleOf(candidates);
	const cheapestSampled = cheapest(sample(eligible, SAMPLE_SIZE, random), random);
	return cheapestSampled === undefined || cheapestSampled.inFlight < Math.min(cheapestSampled.slots, cheapestSampled.maxInFlight) ? cheapestSampled : cheapest(eligible, random);
}

/** The candidates of the first choice: those in service with room, then those of full zones, then those in backoff. */
function eligibleOf<Endpoint extends Candidate>(candidates: readonly Endpoint[]): readonly Endpoint[] {
	const available = candidates.filter(({isInBackoff}) => !isInBackoff);
	const fallback = available.length > 0 ? available : candidates;
	if (candidates.every(({pace, isInFullZone}) => pace === undefined && isInFullZone !== true)) {
		return fallback;
	}

	// The cheapest endpoint may be full while others are not: a learned limit can be far below the slots.
	const withRoom = candidates.filter(({inFlight, maxInFlight}) => inFlight < maxInFlight);
	const choices = [
		withRoom.filter(({isInBackoff, isInFullZone}) => !isInBackoff && isInFullZone !== true),
		withRoom.filter(({isInBackoff}) => !isInBackoff),
		withRoom,
	];
	return choices.find(choice => choice.length > 0) ?? fallback;
}

/** The cheapest candidate; ties are broken at random. */
function cheapest<Endpoint extends Candidate>(candidates: readonly Endpoint[], random: () => number): Endpoint | undefined {
	let best: Endpoint | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	let tieCount = 0;
	for (const candidate of candidates) {
		const cost = costOf(candidate);
		if (cost < bestCost - 1e-9) {
			best = candidate;
			bestCost = cost;
			tieCount = 1;
		} else if (cost <= bestCost + 1e-9) {
			tieCount += 1;
			if (random() * tieCount < 1) {
				best = candidate;
			}
		}
	}

	return best;
}

/** Up to `count` distinct items at random. */
function sample<Item>(items: readonly Item[], count: number, random: () => number): readonly Item[] {
	if (items.length <= count) {
		return items;
	}

	const remaining = [...items];
	return Array.from({length: count}, () => remaining.splice(Math.floor(random() * remaining.length), 1)[0]!);
}
