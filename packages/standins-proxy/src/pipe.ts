/** One direction of a proxied connection, which applies the active faults to its data. */
import type {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import type {Direction, ProxyFaults} from './proxy-faults.js';

/** Number of buffered bytes at which the source is paused. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** Interval of the writes of a rate-limited connection in milliseconds. */
const RATE_LIMIT_TICK_MS = 10;

export type PipeOptions = {
	readonly source: Socket;
	readonly target: Socket;
	readonly direction: Direction;
	readonly faults: () => ProxyFaults;
	/** Called before bytes are forwarded; returns the number of them that may be forwarded. */
	readonly admitBytes: (count: number) => number;
	/** Called when `admitBytes` admitted only some of the bytes and those have been written. */
	readonly onDrop: () => void;
};

type Chunk = {readonly readyAt: number; readonly bytes: Uint8Array};

export class Pipe {
	static create(options: PipeOptions): Pipe {
		return new Pipe(options);
	}

	/** Whether the `cut` fault discarded bytes of this direction. */
	lostBytes = false;
	readonly #options: PipeOptions;
	readonly #queue: Chunk[] = [];
	#queuedBytes = 0;
	#ended = false;
	#timer: NodeJS.Timeout | undefined;

	private constructor(options: PipeOptions) {
		this.#options = options;
		const {source, target} = options;
		source.on('data', bytes => {
			this.#enqueue(bytes);
		});
		source.on('end', () => {
			this.#ended = true;
			this.pump();
		});
		source.on('close', () => {
			clearTimeout(this.#timer);
		});
		target.on('drain', () => {
			this.pump();
		});
	}

	/** Forwards all data that may be forwarded now; must be called again when the faults change. */
	pump(): void {
		clearTimeout(this.#timer);
		const {source, target, faults} = this.#options;
		if (faults().frozen || target.destroyed) {
			return;
		}

		while (this.#queue.length > 0 && !target.writableNeedDrain) {
			const waitMs = (this.#queue[0]?.readyAt ?? 0) - performance.now();
			if (waitMs > 0) {
				this.#schedulePump(waitMs);
				return;
			}

			if (!this.#forward()) {
				return;
			}
		}

		if (this.#queuedBytes < MAX_QUEUED_BYTES) {
			source.resume();
		}

		if (this.#ended && this.#queue.length === 0) {
			target.end();
		}
	}

	#enqueue(bytes: Uint8Array): void {
		const {source, direction, faults} = this.#options;
		if (faults().cut === direction) {
			this.lostBytes = true;
			return;
		}

		this.#queue.push({readyAt: performance.now() + faults().delayMs, bytes});
		this.#queuedBytes += bytes.length;
		if (this.#queuedBytes >= MAX_QUEUED_BYTES) {
			source.pause();
		}

		this.pump();
	}

	/** Writes the first chunk or, with a rate limit, a part of it; returns false if the pump must stop. */
	#forward(): boolean {
		const chunk = this.#queue.shift();
		if (chunk === undefined) {
			return false;
		}

		const {bytesPerSecond} = this.#options.faults();
		const limit = bytesPerSecond === 0 ? chunk.bytes.length : Math.max(1, Math.floor(bytesPerSecond * RATE_LIMIT_TICK_MS / 1000));
		const next = chunk.bytes.subarray(0, limit);
		const remaining = chunk.bytes.subarray(limit);
		const tickMs = bytesPerSecond === 0 ? 0 : next.length * 1000 / bytesPerSecond;
		if (remaining.length > 0) {
			this.#queue.unshift({readyAt: performance.now() + tickMs, bytes: remaining});
		}

		this.#queuedBytes -= next.length;
		const allowed = this.#options.admitBytes(next.length);
		if (allowed < next.length) {
			this.#options.target.write(next.subarray(0, allowed), this.#options.onDrop);
			return false;
		}

		this.#options.target.write(next);
		if (tickMs > 0) {
			this.#schedulePump(tickMs);
		}

		return tickMs === 0;
	}

	#schedulePump(waitMs: number): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			this.pump();
		}, Math.ceil(waitMs));
	}
}
