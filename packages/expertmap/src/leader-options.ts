/** Settings, effects and outcomes of a map leader. */
import type {MapRecord} from './leader-phase.js';
import type {MapMessage} from './messages.js';

/** What the driver does for a leader: `record` is a conditional update of `groups/NAME/map`. */
export type LeaderEffect
	= | {readonly kind: 'send'; readonly to: string; readonly message: MapMessage}
		| {readonly kind: 'record'; readonly id: number; readonly record: MapRecord};

/** Outcome of a `record` effect after reading back: `conflict` if another process has written the object. */
export type RecordOutcome = 'done' | 'conflict' | 'unavailable';

/** Settings of a leader. */
export type LeaderOptions = {
	readonly group: string;
	/** Id of this endpoint, which holds the lease. */
	readonly id: string;
	/** Ids of all endpoints of the group, this one included. */
	readonly members: readonly string[];
	/** Fencing number of the lease. */
	readonly fence: number;
	/** End of the lease, ms. */
	readonly leaseUntil: number;
	/** Value of `groups/NAME/map` when the lease was taken. */
	readonly record: MapRecord;
	/** Returns a number in [0, 1). */
	readonly random: () => number;
	/** Steps between the current one and the gate; default 10, which is 500 ms at 50 ms a step. */
	readonly marginSteps?: number;
	/** Time for loading experts, ms; default 120,000. */
	readonly prepareTimeoutMs?: number;
};

/** Why a proposed map is not taken on. */
export type ProposalRefusal = 'busy' | 'lapsed' | 'outside-epoch';
