/** HTTP client of the test fleet; returns the response with its exact bytes. */
import {Buffer} from 'node:buffer';
import {Agent, request, type Dispatcher} from 'undici';
import {type EntryNode} from './test-fleet.js';

/** Response as the caller received it. */
export type CallerResponse = {
	/** HTTP status; 0 if the connection closed before one was received. */
	readonly status: number;
	readonly requestId: string;
	readonly headers: Readonly<Record<string, unknown>>;
	readonly bytes: Uint8Array;
	/** `bytes` decoded as UTF-8. */
	readonly text: string;
	/** True if the connection closed before the end of the response. */
	readonly isIncomplete: boolean;
};

export type ChatOptions = {
	readonly prompt: string;
	readonly stream?: boolean;
	readonly maxTokens?: number;
	readonly model?: string;
	readonly deadlineMs?: number;
	readonly signal?: AbortSignal;
	/** Called for each chunk of the response body; the next chunk is read after it resolves. */
	readonly onData?: (bytes: Uint8Array) => Promise<void> | void;
};

const DEFAULT_BOOKING = {notice: 'reading'} as const;

/** Error object of a refused request. */
export type CallError = {readonly code: string; readonly outcome: string; readonly message: string};

export class Caller {
	static create(key: string): Caller {
		return new Caller(key);
	}

	readonly #key: string;
	readonly #agent = new Agent({headersTimeout: 0, bodyTimeout: 0, connections: 256});

	private constructor(key: string) {
		this.#key = key;
	}

	/** Sends a chat completion request. Does not throw when the connection fails. */
	async chat(entry: EntryNode, options: ChatOptions): Promise<CallerResponse> {
		const body = JSON.stringify({
			model: options.model ?? 'drafting', max_tokens: options.maxTokens ?? 16, stream: options.stream ?? false, messages: [{role: 'user', content: options.prompt}],
		});
		const headers = options.deadlineMs === undefined ? {} : {'x-deadline-ms': String(options.deadlineMs)};
		return this.send(entry, {
			method: 'POST', path: '/v1/chat/completions', body, headers, options,
		});
	}

	/** Sends a booking with an idempotency key. */
	async book(entry: EntryNode, key: string, body: unknown = DEFAULT_BOOKING, service = 'ledger'): Promise<CallerResponse> {
		return this.send(entry, {
			method: 'POST', path: `/services/${service}/bookings`, body: JSON.stringify(body), headers: {'idempotency-key': key},
		});
	}

	/** Sends any request. Does not throw when the connection fails. */
	async send(entry: EntryNode, call: {
		readonly method: string;
		readonly path: string;
		readonly body?: string;
		readonly headers?: Readonly<Record<string, string>>;
		readonly options?: Pick<ChatOptions, 'signal' | 'onData'>;
	}): Promise<CallerResponse> {
		const chunks: Uint8Array[] = [];
		let response: Dispatcher.ResponseData | undefined;
		try {
			response = await request(`${entry.url}${call.path}`, {
				method: call.method,
				dispatcher: this.#agent,
				headers: {'content-type': 'application/json', authorization: `Bearer ${this.#key}`, ...call.headers},
				...(call.body === undefined ? {} : {body: call.body}),
				...(call.options?.signal === undefined ? {} : {signal: call.options.signal}),
			});
			for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
				chunks.push(chunk);
				await call.options?.onData?.(chunk);
			}

			return this.#toResponse(response, chunks, false);
		} catch {
			return this.#toResponse(response, chunks, true);
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#toResponse(response: Dispatcher.ResponseData | undefined, chunks: readonly Uint8Array[], isIncomplete: boolean): CallerResponse {
		const bytes = Buffer.concat([...chunks]);
		return {
			status: response?.statusCode ?? 0,
			requestId: String(response?.headers['x-request-id'] ?? ''),
			headers: response?.headers ?? {},
			bytes,
			text: bytes.toString('utf8'),
			isIncomplete,
		};
	}
}

/** The error in a refusal, or in the error event that ends an interrupted stream; undefined for a complete response. */
export function errorOf({text}: CallerResponse): CallError | undefined {
	const event = text.trimEnd().split('\n').at(-1) ?? '';
	const json = event.startsWith('data: ') ? event.slice('data: '.length) : text;
	try {
		return (JSON.parse(json) as {readonly error?: CallError}).error;
	} catch {
		return undefined;
	}
}

/** True if a streamed response ends with its final `[DONE]` event. */
export function isCompleteStream({text, isIncomplete}: CallerResponse): boolean {
	return !isIncomplete && text.trimEnd().endsWith('data: [DONE]');
}
