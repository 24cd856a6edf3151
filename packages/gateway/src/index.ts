/** Public index: an entry that speaks straight to endpoints. An adapter gives it the platform's wire and register. */
export type {
	ResponseHead, CallerRequest, Dialect, ForwardingInfo, RawHeaders,
} from './dialect.js';
export {ConnectionPool, type ConnectionTarget, type AcquiredConnection} from './connection-pool.js';
export {Gateway, type GatewayOptions} from './gateway.js';
export type {GroupProbe} from './group-monitor.js';
export {EntryEventLog, type EntryEvent, type RequestSummary} from './event-log.js';
export {
	refusalOf, retryAfterSeconds, type Refusal, type RefusalReason,
} from './refusals.js';
export {RequestHandler, type RequestHandlerContext} from './request-handler.js';
export type {EndpointChange, Registry, RegistryResult} from './registry.js';
export {CallerServer} from './caller-server.js';
export {fetchEndpointsFromEntries} from './peer-exchange.js';
