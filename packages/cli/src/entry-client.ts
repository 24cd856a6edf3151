/** Calls to the admin routes of an entry. */
import {Agent, request} from 'undici';
import type {z} from 'zod';
import type {Options} from './arguments.js';
import {CommandError, exitCodes, type CliContext} from './context.js';
import {readKeyFile, readOrigin} from './input-file.js';
import {replaceControlCharacters} from './table.js';
import {
	explainResponseSchema, statusResponseSchema, type ExplainResponse, type ExplainRequest, type StatusResponse,
} from '#admin';

const REQUEST_TIMEOUT_MS = 5000;
const MAX_SHOWN_BODY_CHARS = 300;

/** Client of one entry, authenticated with the operators' key. */
export class EntryClient {
	/** Reads the address and the key from the options. */
	static create(context: CliContext, options: Options): EntryClient {
		return new EntryClient(readOrigin(options, 'entry'), readKeyFile(context, options, 'operator-key-file'));
	}

	readonly #origin: string;
	readonly #key: string;
	readonly #agent = new Agent({connect: {timeout: REQUEST_TIMEOUT_MS}, headersTimeout: REQUEST_TIMEOUT_MS, bodyTimeout: REQUEST_TIMEOUT_MS});

	private constructor(origin: string, key: string) {
		this.#origin = origin;
		this.#key = key;
	}

	/** @throws CommandError when the entry cannot be reached or refuses the request. */
	async status(): Promise<StatusResponse> {
		return this.#call('GET', '/admin/status', statusResponseSchema);
	}

	/** @throws CommandError when the entry cannot be reached or refuses the request. */
	async explain(req: ExplainRequest): Promise<ExplainResponse> {
		return this.#call('POST', '/admin/explain', explainResponseSchema, req);
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	async #call<Value>(method: 'GET' | 'POST', path: string, schema: z.ZodType<Value>, body?: unknown): Promise<Value> {
		const {status, text} = await this.#send(method, path, body);
		if (status === 401 || status === 403) {
			throw CommandError.create(exitCodes.failed, 'entry: the operators\' key was refused');
		}

		if (status !== 200) {
			throw CommandError.create(exitCodes.failed, `entry: answered ${status}: ${replaceControlCharacters(text.slice(0, MAX_SHOWN_BODY_CHARS))}`);
		}

		const parsed = schema.safeParse(parseJson(text));
		if (!parsed.success) {
			const [issue] = parsed.error.issues;
			throw CommandError.create(exitCodes.failed, `entry: the response does not match the schema at ${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}; the entry may run another version`);
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
			throw CommandError.create(exitCodes.unreachable, `entry: cannot be reached (${String(code ?? message)})`);
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
