/** States of the ranks of a lock-step group, and the orders that change its expert map at one step. */

/** Experts that one rank holds, by layer set. */
export type RankExperts = ReadonlyArray<readonly number[]>;

/** Experts by layer set and rank. Each expert of a set is on at least one rank. */
export type GroupMap = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** Dimensions of a group's experts and limits of a change. */
export type ExpertShape = {
	readonly ranks: number;
	readonly sets: number;
	/** Experts per layer set. */
	readonly experts: number;
	/** Maximum experts of a layer set that a rank holds. */
	readonly places: number;
	/** Maximum experts of a layer set that may be new to a rank in one change. */
	readonly spare: number;
};

/** State that a rank reports. */
export type RankState = {
	readonly group: string;
	/** Incremented each time that the group re-forms; the map is then 0 and nothing is prepared, armed or held. */
	readonly epoch: number;
	readonly rank: number;
	readonly isOpen: boolean;
	/** Number of ranks in the group. */
	readonly size: number;
	/** Number of orders that had an effect; a late order with an older number fails. */
	readonly sequence: number;
	/** Last step that began. */
	readonly step: number;
	/** Version of the map in use. */
	readonly map: number;
	/** Version whose experts have all been copied. */
	readonly prepared: number | undefined;
	/** Version to switch to, and the first step that uses it. */
	readonly armed: {readonly version: number; readonly step: number} | undefined;
	/** Step that does not begin until the hold is released. */
	readonly heldStep: number | undefined;
	/** Time per unit of work relative to a healthy rank; above 1 is slow. */
	readonly pace: number;
	/** Requests in the batch. */
	readonly running: number;
	/** Requests that wait for a place in the batch. */
	readonly queued: number;
	/** Whether an order is in progress. */
	readonly isBusy: boolean;
};

/** A state as a coordinator has it. */
export type ObservedRank = RankState & {
	/** Whether it was read from another machine and is some hundred ms old: what it shows has happened, what it lacks may have happened since. */
	readonly isLagging: boolean;
};

/** An order to a rank. */
export type RankOrder = {
	readonly rank: number;
	/** The rank executes the order only in this epoch and at this sequence number. */
	readonly epoch: number;
	readonly sequence: number;
	readonly action:
		| {readonly kind: 'prepare'; readonly version: number; readonly map: GroupMap}
		| {readonly kind: 'arm'; readonly version: number; readonly step: number}
		| {readonly kind: 'hold'; readonly step: number}
		| {readonly kind: 'go'; readonly step: number};
};
