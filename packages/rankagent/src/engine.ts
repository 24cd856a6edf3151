/** One rank's engine, as an agent or a coordinator uses it. An adapter implements the calls. */
import type {CountsReading} from './count-changes.js';
import type {Result} from '#core';
import type {RankExperts, RankOrder, RankState} from '#rankmap';

/** What became of an order. Without an answer it may act now, later, or never. */
export type OrderOutcome = 'begun' | 'already' | 'refused' | 'no-answer';

/** The experts that a rank holds under the map in use. */
export type RankHoldings = {readonly version: number; readonly experts: RankExperts};

export type RankEngine = {
	readonly state: () => Promise<Result<RankState, string>>;
	/** Counters of tokens by expert; reading them from another machine pauses the group. */
	readonly counts: () => Promise<Result<CountsReading, string>>;
	readonly holdings: () => Promise<Result<RankHoldings, string>>;
	readonly order: (order: RankOrder) => Promise<OrderOutcome>;
};

/** Requests of a coordinator to the agent beside a rank. */
export type AgentRequest
	= | {readonly kind: 'state'}
		/** `since` names the last answer that the asker took. */
		| {readonly kind: 'counts'; readonly since: number | undefined}
		| {readonly kind: 'holdings'}
		| {readonly kind: 'order'; readonly order: RankOrder};
