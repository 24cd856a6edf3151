/** Public index of the limits: grants at the home and at entries, fair queue, admission and capacity. */
export {admit, type Admission, type WaitEstimate} from './admission.js';
export {
	createCapacity, nextCapacity, STEP_TARGET_MS, type Capacity, type StepSample,
} from './capacity.js';
export {
	FairQueue, type Offer, type QueueBounds, type QueueItem, type Taken,
} from './fair-queue.js';
export {GrantHolder, type Spend} from './grant-holder.js';
export {GrantHome} from './grant-home.js';
export {
	BURST_MS, FALLBACK_RISE_MS, GRANT_DECAY_END_MS, GRANT_FULL_MS, type Demand, type Grant, type WorkspaceRule,
} from './types.js';
