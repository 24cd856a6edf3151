/** Public index: connections to back ends, one request and its response on one of them, what responses may hold, connections of callers and what their requests may hold, and what messages of other machines may hold. */
export {BoundedConnections, type BoundedConnectionsOptions} from './bounded-connections.js';
export {BufferBudget} from './buffer-budget.js';
export {
	dropBody, readCallerBody, type BodyEnd, type CallerBody, type CallerBodyOptions,
} from './caller-body.js';
export {
	CallerBudget, callerBudgetBytes, type ReadRefusal, type SweepLimits,
} from './caller-budget.js';
export {CallerConnections, type CallerConnectionsOptions} from './caller-connections.js';
export {
	CallerConnection, UndrainedConnections, type CallerConnectionOptions, type CloseWish,
} from './caller-connection.js';
export {SWEEP_INTERVAL_MS} from './chunk-pacer.js';
export {
	ConnectionBound, DEFAULT_OPEN_FILES, maxCallerConnections, type ConnectionUse, type MachineLimits,
} from './connection-bound.js';
export {ConnectionPool, type AcquiredConnection, type ConnectionTarget} from './connection-pool.js';
export {
	Exchange, isUnframed, readResponseBody, type BodyLimits, type ExchangeHead, type OutgoingRequest, type ResponseBody,
} from './exchange.js';
export {LimitedBody, type BodyExcess} from './limited-body.js';
export {MessageBound, type MessageBoundOptions, type MessageCounter} from './message-bound.js';
export {pauseReading, readOn} from './paused-reading.js';
export {ReadPacer} from './read-pacer.js';
