/** A stream that is relayed from a scripted response to a caller whose pace a test decides. */
import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {CallerResponse} from '../src/caller-response.js';
import {relayStream, type RelayResult} from '../src/stream-relay.js';
import {StreamProgress} from '../src/stream-progress.js';
import type {BufferBudget} from '#connections';
import {ScriptedResponse} from '#harness';

export class RelayedStream {
	static create(buffers: BufferBudget): RelayedStream {
		return new RelayedStream(buffers);
	}

	readonly source = ScriptedResponse.create({'transfer-encoding': 'chunked'});
	readonly result: Promise<RelayResult>;
	/** Whether the caller reads what is written to it. */
	isReading = true;
	/** Writes to the caller. */
	writes = 0;
	readonly #written: Uint8Array[] = [];
	readonly #res = new ServerResponse(new IncomingMessage(new Socket()));

	private constructor(buffers: BufferBudget) {
		this.#res.write = (bytes: Uint8Array) => {
			this.writes += 1;
			this.#written.push(Uint8Array.from(bytes));
			return this.isReading;
		};

		this.result = relayStream({
			res: this.source.res,
			exchange: {
				isBroken: false, checkIsBroken: async () => false, abort: () => undefined,
			},
			callerResponse: CallerResponse.create(this.#res, {
				closesAfter: () => false, closeReason: () => undefined, onCut: () => undefined, reset: () => undefined,
			}),
			head: [],
			progress: StreamProgress.create(undefined),
			isResumable: false,
			silenceMs: undefined,
			signal: new AbortController().signal,
			buffers,
			claim: () => true,
			onSilent: () => undefined,
			onFirstEvent: () => undefined,
			onGap: () => undefined,
			onPaused: () => undefined,
		});
	}

	/** What the caller got. */
	get text(): string {
		return Buffer.concat(this.#written).toString();
	}

	/** The caller has read everything. */
	drain(): void {
		this.#res.emit('drain');
	}
}
