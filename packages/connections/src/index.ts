/** Public index: connections to back ends, one request and its response on one of them, what responses may hold, and connections of callers. */
export {BufferBudget} from './buffer-budget.js';
export {CallerConnection, type CallerConnectionOptions} from './caller-connection.js';
export {ConnectionPool, type AcquiredConnection, type ConnectionTarget} from './connection-pool.js';
export {
	Exchange, isUnframed, readResponseBody, type BodyLimits, type ExchangeHead, type OutgoingRequest,
} from './exchange.js';
