/** What the engine ran, how often, and the exact bytes it made: tests compare against it. */
import {hashBytes} from './hash.js';
import type {Run, RunState} from './run.js';

/** Request ids remembered; the oldest is forgotten first, which bounds the memory of long load runs. */
const MAX_REQUEST_IDS = 20_000;

/** Account of one request id. */
export type RequestStats = {
	/** Times the request ran or was queued. */
	readonly runs: number;
	/** Tokens over all runs. */
	readonly tokens: number;
	/** Bytes of the answer body that the latest run made, and their xxhash64. */
	readonly bytes: number;
	readonly hash: string;
	/** State of each run in order of arrival. */
	readonly states: readonly RunState[];
};

/** Totals of an engine since it was created; a crash does not reset them. */
export type EngineCounts = {
	readonly requests: number;
	readonly tokens: number;
	readonly cancels: number;
	readonly crashes: number;
	readonly resumes: number;
	readonly refused: number;
	readonly byId: Readonly<Record<string, RequestStats>>;
};

export class RequestRecorder {
	static create(): RequestRecorder {
		return new RequestRecorder();
	}

	cancels = 0;
	crashes = 0;
	resumes = 0;
	refused = 0;
	tokens = 0;
	#requests = 0;
	readonly #runs = new Map<string, Run[]>();

	private constructor() {
		// Created by `create`.
	}

	recordRun(run: Run): void {
		const {requestId} = run;
		this.#requests++;
		this.#runs.set(requestId, [...this.#runs.get(requestId) ?? [], run]);
		if (this.#runs.size > MAX_REQUEST_IDS) {
			const [oldest] = this.#runs.keys();
			this.#runs.delete(oldest ?? requestId);
		}
	}

	/** The bytes that the latest run of a request made; undefined for an unknown id. */
	bytesOf(requestId: string): Uint8Array | undefined {
		return this.#runs.get(requestId)?.at(-1)?.bytes();
	}

	/** The account of one request id; undefined if it never came. */
	statsOf(requestId: string): RequestStats | undefined {
		const runs = this.#runs.get(requestId);
		if (runs === undefined) {
			return undefined;
		}

		return {
			runs: runs.length,
			tokens: runs.reduce((sum, run) => sum + run.generatedTokens, 0),
			...(runs.at(-1)?.digest() ?? {bytes: 0, hash: hashBytes(new Uint8Array())}),
			states: runs.map(run => run.state),
		};
	}

	counts(): EngineCounts {
		const byId = Object.fromEntries([...this.#runs.keys()].flatMap(id => {
			const count = this.statsOf(id);
			return count === undefined ? [] : [[id, count]];
		}));
		return {
			requests: this.#requests, tokens: this.tokens, cancels: this.cancels, crashes: this.crashes, resumes: this.resumes, refused: this.refused, byId,
		};
	}
}
