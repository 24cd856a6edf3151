/** The headers of requests and responses, which differ between platforms. An adapter implements this interface. */
import type {IncomingHttpHeaders} from 'node:http';

/** Alternating names and values, as on the wire. */
export type RawHeaders = readonly string[];

/** A caller's request, decoded. */
export type CallerRequest = {
	/** Id that the caller gave this attempt. */
	readonly id: string;
	readonly method: string;
	/** Path with query, unchanged as received. */
	readonly path: string;
	readonly host: string;
	/** Headers to forward: without hop-by-hop headers and those that the entry sets itself. */
	readonly headers: RawHeaders;
	/** Time that the caller waits, in ms from when it began to send the request; undefined if not given. */
	readonly waitMs: number | undefined;
	/** Key of a workspace. */
	readonly key: string | undefined;
	/** Id of the last event that the caller has of a stream that broke. */
	readonly lastEventId: number | undefined;
	/** Number of prompt tokens, and maximum number of output tokens; 0 if not given. */
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
	/** Ids of the parts of the prompt that other requests may share, in order. */
	readonly sharedParts: readonly string[];
};

/** Information that the entry adds to a forwarded request. */
export type ForwardingInfo = {
	readonly endpointId: string;
	readonly workspace: string | undefined;
	/** Time left, in ms. */
	readonly remainingMs: number;
	/** 0 is the highest. */
	readonly priority: number;
	readonly lastEventId: number | undefined;
	readonly bodyBytes: number;
};

/** Information in the head of a response. */
export type ResponseHead = {
	/** Id of the request that it belongs to; undefined if not given. */
	readonly requestId: string | undefined;
	/** Whether it was signed by an endpoint. */
	readonly isSigned: boolean;
	/** Whether the endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the address belongs to another endpoint. */
	readonly isMisdirected: boolean;
	/** Id of the endpoint that caused the failure, if the responding one depends on another. */
	readonly faultyEndpointId: string | undefined;
	/** Requests per second that the endpoint accepts from all entries together; undefined if it names no limit. */
	readonly limitPerS: number | undefined;
	/** Whether the endpoint says that it leaves. */
	readonly isLeaving: boolean;
	/** Time for which the endpoint asks this entry for no more requests, in s; undefined if it names none that can be read. */
	readonly retryAfterS: number | undefined;
	/** Time for which the endpoint stays cold, in ms; undefined if it names none that can be read. */
	readonly warmupMs?: number | undefined;
};

export type Dialect = {
	/** Decodes a caller's request. */
	readonly readRequest: (method: string, path: string, headers: IncomingHttpHeaders, rawHeaders: RawHeaders) => CallerRequest;
	/** Headers of the request to an endpoint. */
	readonly headersToEndpoint: (req: CallerRequest, forwarding: ForwardingInfo) => readonly string[];
	readonly readResponse: (status: number, headers: IncomingHttpHeaders) => ResponseHead;
	/** Headers of a response to the caller, without hop-by-hop headers. */
	readonly headersToCaller: (rawHeaders: RawHeaders) => readonly string[];
	/** Headers of the responses that the entry generates itself. */
	readonly refusalHeaders: (req: CallerRequest) => readonly string[];
};
