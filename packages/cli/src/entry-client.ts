/** Calls to the admin routes of an entry. */
import {Agent, request} from 'undici';
import type {z} from 'zod';
import type {Options} from './arguments.js';
import {CommandEnd, exitCodes, type CliContext} from './context.js';
import {readKey, readOrigin} from './input-file.js';
import {toPlain} from './table.js';
import {
	explainResponseSchema, statusResponseSchema, type ExplainResponse, type ExplainRequest, type StatusResponse,
} from '#admin';

const TIMEOUT_MS = 5000;
const MAX_MESSAGE_CHARS = 300;

/** One entry with the operators' key. */
export class EntryClient {
	/** Reads address and key from the options. */
	static create(context: CliContext, options: Options): EntryClient {
		return new EntryClient(readOrigin(options, 'entry'), readKey(context, options, 'operator-key-file'));
	}

	readonly #origin: string;
	readonly #key: string;
	readonly #agent = new Agent({connect: {timeout: TIMEOUT_MS}, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS});

	private constructor(origin: string, key: string) {
		this.#origin = origin;
		this.#key = key;
	}

	/** Ends the command when the entry cannot be reached or refuses. */
	async status(): Promise<StatusResponse> {
		return this.#call('GET', '/admin/status', statusResponseSchema);
	}

	/** Ends the command when the entry cannot be reached or refuses. */
	async explain(req: ExplainRequest): Promise<ExplainResponse> {
		return this.#call('POST', '/admin/explain', explainResponseSchema, req);
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #call<Value>(method: 'GET' | 'POST', path: string, schema: z.ZodType<Value>, body?: unknown): Promise<Value> {
		const {status, text} = await this.#send(method, path, body);
		if (status === 401 || status === 403) {
			throw CommandEnd.create(exitCodes.failed, 'entry: the operators\' key was refused');
		}

		if (status !== 200) {
			throw CommandEnd.create(exitCodes.failed, `entry: answered ${status}: ${toPlain(text.slice(0, MAX_MESSAGE_CHARS))}`);
		}

		const parsed = schema.safeParse(parseJson(text));
		if (!parsed.success) {
			const [issue] = parsed.error.issues;
			throw CommandEnd.create(exitCodes.failed, `entry: the answer has another shape at ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}; is it another version?`);
		}

		return parsed.data;
	}

	async #send(method: 'GET' | 'POST', path: string, body: unknown): Promise<{readonly status: number; readonly text: string}> {
		try {
			const res = await request(`${this.#origin}${path}`, {
				dispatcher: this.#agent,
				method,
				headers: {authorization: `Bearer ${this.#key}`, ...(body === undefined ? {} : {'content-type': 'application/json'})},
				...(body === undefined ? {} : {body: JSON.stringify(body)}),
			});
			return {status: res.statusCode, text: await res.body.text()};
		} catch (error) {
			const {code, message} = error as {readonly code?: unknown; readonly message?: unknown};
			throw CommandEnd.create(exitCodes.unreachable, `entry: cannot be reached (${String(code ?? message)})`);
		}
	}
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}
