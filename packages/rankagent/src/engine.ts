/** Interface to the engine of one rank, used by agents and coordinators. An adapter implements it. */
import type {CountsReading} from './counts-delta.js';
import type {MapDelta} from './map-delta.js';
import type {Result} from '#core';
import type {RankExperts, RankOrder, RankState} from '#rankmap';

/** Result of an order. An unanswered order may take effect now, later or never. */
export type OrderResult = 'begun' | 'already' | 'refused' | 'no-answer';

/** The experts that a rank holds under the map in use. */
export type RankHoldings = {readonly version: number; readonly experts: RankExperts};

export type RankEngine = {
	readonly state: () => Promise<Result<RankState, string>>;
	/** Reads the token counters by expert; a read from another machine pauses the group. */
	readonly counts: () => Promise<Result<CountsReading, string>>;
	readonly holdings: () => Promise<Result<RankHoldings, string>>;
	readonly order: (order: RankOrder) => Promise<OrderResult>;
};

/** Requests to the agent of a rank. */
export type AgentRequest
	= | {readonly kind: 'state'}
		/** `since` is the number of the last response that the requester decoded. */
		| {readonly kind: 'counts'; readonly since: number | undefined}
		| {readonly kind: 'holdings'}
		| {readonly kind: 'order'; readonly order: RankOrder}
		/** A prepare order whose map is sent as differences. Agents of earlier versions do not know it. */
		| {readonly kind: 'prepare-delta'; readonly rank: number; readonly epoch: number; readonly sequence: number; readonly version: number; readonly delta: MapDelta};

/** Response to a prepare order whose map is sent as differences. */
export type PrepareDeltaResponse = OrderResult | 'base-unknown';
