/** Public index: an entry that speaks straight to endpoints. An adapter gives it the platform's wire and register. */
export type {
	AnswerHead, CallerRequest, Dialect, PassedOn, RawHeaders,
} from './dialect.js';
export {ConnectionPool, type ConnectionTarget, type OpenedConnection} from './connection-pool.js';
export {Gateway, type GatewayOptions} from './gateway.js';
export type {GroupProbe} from './group-watch.js';
export {EntryJournal, type EntryEvent, type RequestFacts} from './events.js';
export {
	refusalOf, retryAfterSeconds, type Refusal, type RefusalReason,
} from './refusals.js';
export {RequestFlow, type FlowParts} from './request-flow.js';
export type {EndpointChange, Register, RegisterAnswer} from './register.js';
export {CallerServer} from './caller-server.js';
export {askEntriesForEndpoints} from './peers.js';
