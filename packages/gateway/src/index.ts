/** Public index: an entry that connects directly to endpoints. An adapter provides the headers and the registry of the platform. */
export type {
	CallerRequest, Dialect, ForwardingInfo, RawHeaders, ResponseHead,
} from './dialect.js';
export {Gateway, SlackShare, type GatewayOptions} from './gateway.js';
export type {GroupProbe} from './group-monitor.js';
export {EntryEventLog, type EntryEvent, type RequestSummary} from './event-log.js';
export {
	refusalOf, retryAfterSeconds, type Refusal, type RefusalReason,
} from './refusals.js';
export {RequestHandler, type RequestHandlerContext} from './request-handler.js';
export type {EndpointChange, Registry, RegistryResult} from './registry.js';
export {CallerServer} from './caller-server.js';
export {fetchEndpointsFromEntries, pollIntervalMs} from './peer-exchange.js';
