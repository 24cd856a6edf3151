/** Public index: the decisions of an entry that speaks straight to endpoints. No sockets, timers or clocks. */
export {elapsedMs, readInstant, type Instant} from './instant.js';
export {
	FleetConfig, pickService, type CallerLimits, type FleetConfigParts, type Route, type RouteKind, type ServiceConfig, type ServiceExperts, type ServiceShare, type Workspace,
} from './fleet-config.js';
export {ConfigHolder, type ConfigOffer} from './config-holder.js';
export {
	EndpointDirectory, LAPSE_GRACE_MS, type DirectoryChange, type EndpointRecord, type LeftEndpoint,
} from './endpoint-directory.js';
export {EndpointHealth, type AttemptOutcome} from './endpoint-health.js';
export {choosePlace, type Candidate} from './placement.js';
export {readAtAgeMs} from './reading-turn.js';
export {EventSplitter, type SplitEvents} from './event-splitter.js';
export {LoadBoard, PEER_LOAD_LIFETIME_MS, type LoadCounts} from './load-board.js';
export {
	backlogFor, isLate, placesFor, urgencyOf, type UrgencyInput,
} from './urgency.js';
