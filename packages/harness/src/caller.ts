/** A caller of the fleet: sends requests as any HTTP client does, and keeps the bytes it got. */
import {Buffer} from 'node:buffer';
import {Agent, request, type Dispatcher} from 'undici';
import {type EntryNode} from './test-fleet.js';

/** What a caller got. */
export type Received = {
	/** 0 if the connection broke before a status. */
	readonly status: number;
	readonly requestId: string;
	readonly headers: Readonly<Record<string, unknown>>;
	readonly bytes: Uint8Array;
	/** The same bytes as text. */
	readonly text: string;
	/** True if the connection broke before the end of the answer. */
	readonly broken: boolean;
};

export type ChatOptions = {
	readonly prompt: string;
	readonly stream?: boolean;
	readonly maxTokens?: number;
	readonly model?: string;
	readonly deadlineMs?: number;
	readonly signal?: AbortSignal;
	/** Called for each piece of the answer; the next one is read after it resolves. */
	readonly onData?: (bytes: Uint8Array) => Promise<void> | void;
};

const DEFAULT_BOOKING = {notice: 'reading'} as const;

/** The error of a refusal. */
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

	/** Sends a chat completion. Does not throw when the connection breaks. */
	async chat(entry: EntryNode, options: ChatOptions): Promise<Received> {
		const body = JSON.stringify({
			model: options.model ?? 'drafting', max_tokens: options.maxTokens ?? 16, stream: options.stream ?? false, messages: [{role: 'user', content: options.prompt}],
		});
		const headers = options.deadlineMs === undefined ? {} : {'x-deadline-ms': String(options.deadlineMs)};
		return this.send(entry, {
			method: 'POST', path: '/v1/chat/completions', body, headers, options,
		});
	}

	/** Sends a booking with a key. */
	async book(entry: EntryNode, key: string, body: unknown = DEFAULT_BOOKING, service = 'ledger'): Promise<Received> {
		return this.send(entry, {
			method: 'POST', path: `/services/${service}/bookings`, body: JSON.stringify(body), headers: {'idempotency-key': key},
		});
	}

	/** Sends any request. */
	async send(entry: EntryNode, call: {
		readonly method: string;
		readonly path: string;
		readonly body?: string;
		readonly headers?: Readonly<Record<string, string>>;
		readonly options?: Pick<ChatOptions, 'signal' | 'onData'>;
	}): Promise<Received> {
		const parts: Uint8Array[] = [];
		let head: Dispatcher.ResponseData | undefined;
		try {
			head = await request(`${entry.url}${call.path}`, {
				method: call.method,
				dispatcher: this.#agent,
				headers: {'content-type': 'application/json', authorization: `Bearer ${this.#key}`, ...call.headers},
				...(call.body === undefined ? {} : {body: call.body}),
				...(call.options?.signal === undefined ? {} : {signal: call.options.signal}),
			});
			for await (const part of head.body as AsyncIterable<Uint8Array>) {
				parts.push(part);
				await call.options?.onData?.(part);
			}

			return this.#received(head, parts, false);
		} catch {
			return this.#received(head, parts, true);
		}
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#received(head: Dispatcher.ResponseData | undefined, parts: readonly Uint8Array[], broken: boolean): Received {
		const bytes = Buffer.concat([...parts]);
		return {
			status: head?.statusCode ?? 0,
			requestId: String(head?.headers['x-request-id'] ?? ''),
			headers: head?.headers ?? {},
			bytes,
			text: bytes.toString('utf8'),
			broken,
		};
	}
}

/** The error of a refused answer, or of the error event that ends a lost stream; undefined for a whole answer. */
export function errorOf({text}: Received): CallError | undefined {
	const event = text.trimEnd().split('\n').at(-1) ?? '';
	const json = event.startsWith('data: ') ? event.slice('data: '.length) : text;
	try {
		return (JSON.parse(json) as {readonly error?: CallError}).error;
	} catch {
		return undefined;
	}
}

/** True if a streamed answer has its end mark. */
export function isWhole({text, broken}: Received): boolean {
	return !broken && text.trimEnd().endsWith('data: [DONE]');
}
