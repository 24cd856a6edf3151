/** What differs between platforms in the headers of requests and answers. An adapter implements it. */
import type {IncomingHttpHeaders} from 'node:http';

/** Names and values in turn, as on the wire. */
export type RawHeaders = readonly string[];

/** A caller's request as the entry uses it. */
export type CallerRequest = {
	/** Id that the caller gave this attempt. */
	readonly id: string;
	readonly method: string;
	/** Path with query, byte by byte as received. */
	readonly path: string;
	readonly host: string;
	/** Headers to pass on: without those of one connection and those that the entry sets itself. */
	readonly headers: RawHeaders;
	/** Time that the caller will wait, in ms from the arrival of the request; undefined if not told. */
	readonly waitMs: number | undefined;
	/** Key of a workspace. */
	readonly key: string | undefined;
	/** Last event that the caller has of a stream that broke. */
	readonly lastEventId: number | undefined;
	/** Prompt tokens and most output tokens; 0 if not told. */
	readonly promptTokens: number;
	readonly maxOutputTokens: number;
};

/** What the entry adds to a request that it passes on. */
export type ForwardingInfo = {
	readonly endpointId: string;
	readonly workspace: string | undefined;
	/** Time that is left, in ms. */
	readonly remainingMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	readonly lastEventId: number | undefined;
	readonly bodyBytes: number;
};

/** What the head of an answer says. */
export type ResponseHead = {
	/** Id of the request that it answers; undefined if not told. */
	readonly requestId: string | undefined;
	/** Whether an endpoint signed it. */
	readonly isSigned: boolean;
	/** Whether the endpoint states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether another endpoint has the address. */
	readonly isMisdirected: boolean;
	/** Endpoint at fault, where the answering one depends on another. */
	readonly faultyEndpointId: string | undefined;
};

export type Dialect = {
	/** Reads a caller's request. */
	readonly readRequest: (method: string, path: string, headers: IncomingHttpHeaders, rawHeaders: RawHeaders) => CallerRequest;
	/** Headers of the request to an endpoint. */
	readonly headersToEndpoint: (req: CallerRequest, passedOn: ForwardingInfo) => readonly string[];
	readonly readResponse: (status: number, headers: IncomingHttpHeaders) => ResponseHead;
	/** Headers of an answer to the caller, without those of one connection. */
	readonly headersToCaller: (rawHeaders: RawHeaders) => readonly string[];
	/** Headers of the entry's own answers. */
	readonly refusalHeaders: (req: CallerRequest) => readonly string[];
};
