/** Options, effects and results of a map leader. */
import type {MapRecord} from './leader-phase.js';
import type {MapMessage} from './messages.js';

/** Effect that the driver executes for a leader: `record` is a conditional update of `groups/NAME/map`. */
export type LeaderEffect
	= | {readonly kind: 'send'; readonly to: string; readonly message: MapMessage}
		| {readonly kind: 'record'; readonly id: number; readonly record: MapRecord};

/** Result of a `record` effect, with lost responses resolved: `conflict` if another process has written the object. */
export type RecordResult = 'done' | 'conflict' | 'unavailable';

/** Options of a leader. */
export type LeaderOptions = {
	readonly group: string;
	/** Id of this endpoint, which holds the lease. */
	readonly id: string;
	/** Ids of all endpoints of the group, this one included. */
	readonly members: readonly string[];
	/** Fencing token of the lease. */
	readonly fence: number;
	/** Time at which the lease expires, ms. */
	readonly leaseUntil: number;
	/** Value of `groups/NAME/map` when the lease was acquired. */
	readonly record: MapRecord;
	/** Returns a number in [0, 1). */
	readonly random: () => number;
	/** Steps between the current one and the gate; default 10, which is 500 ms at 50 ms per step. */
	readonly marginSteps?: number;
	/** Time for loading experts, ms; default 120,000. */
	readonly prepareTimeoutMs?: number;
};

/** Reason that a proposed map is rejected. */
export type ProposalRefusal = 'busy' | 'lapsed' | 'outside-epoch';
