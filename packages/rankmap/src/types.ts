/** The ranks of a group in lock-step, and the orders that change its expert map at one step. */

/** Experts that one rank holds, by set of layers. */
export type RankExperts = ReadonlyArray<readonly number[]>;

/** Experts by set of layers and rank. Each expert of a set is on at least one rank. */
export type GroupMap = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** Shape of a group's experts. */
export type ExpertShape = {
	readonly ranks: number;
	readonly sets: number;
	/** Experts of a set. */
	readonly experts: number;
	/** Most experts of a set that a rank holds. */
	readonly places: number;
	/** Most experts of a set that may be new to a rank in one change. */
	readonly spare: number;
};

/** What a rank says of itself. */
export type RankState = {
	readonly group: string;
	/** Increases each time that the group forms anew; the map is then 0 and nothing is prepared, armed or held. */
	readonly epoch: number;
	readonly rank: number;
	readonly isOpen: boolean;
	/** Ranks of the group. */
	readonly size: number;
	/** Orders that began something; a late order that names an older number fails. */
	readonly sequence: number;
	/** Last step that began. */
	readonly step: number;
	/** Version of the map in use. */
	readonly map: number;
	/** Version whose experts are all there. */
	readonly prepared: number | undefined;
	/** Version to switch to, and the step that begins with it. */
	readonly armed: {readonly version: number; readonly step: number} | undefined;
	/** Step that does not begin until it is released. */
	readonly heldStep: number | undefined;
	/** Time that it takes for its work against a sound rank; over 1 means slow. */
	readonly pace: number;
	/** Whether an order is in progress. */
	readonly isBusy: boolean;
};

/** An order to a rank. */
export type RankOrder = {
	readonly rank: number;
	/** The rank carries it out only in this epoch and at this sequence number. */
	readonly epoch: number;
	readonly sequence: number;
	readonly action:
		| {readonly kind: 'prepare'; readonly version: number; readonly map: GroupMap}
		| {readonly kind: 'arm'; readonly version: number; readonly step: number}
		| {readonly kind: 'hold'; readonly step: number}
		| {readonly kind: 'go'; readonly step: number};
};
