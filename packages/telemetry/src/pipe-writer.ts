/** Writes to a pipe or socket without blocking: what the reader does not take is queued up to a limit, and offered again. */
import {Buffer} from 'node:buffer';
import {writeSync} from 'node:fs';
import {Socket} from 'node:net';

/** Maximum number of bytes queued for the reader; further output is dropped. */
const MAX_PENDING_BYTES = 1024 * 1024;

/** Interval at which queued output is offered again, in ms. */
const RETRY_INTERVAL_MS = 20;

/** Time without progress after which an exiting process gives up, in ms: less than a stop leaves before the process is killed. */
const EXIT_PATIENCE_MS = 100;

export class PipeWriter {
	/** @param fd - Descriptor, which becomes non-blocking. */
	static create(fd: number): PipeWriter {
		return new PipeWriter(fd);
	}

	#pending: Uint8Array = new Uint8Array();
	#lostBytes = 0;
	#isRetrying = false;
	/** Time without progress for which an exiting process waits, in ms. */
	#exitPatienceMs = EXIT_PATIENCE_MS;
	/** Whether the reader has closed the pipe: lines are lost and the process continues. */
	#isBroken = false;
	readonly #fd: number;
	/** Keeps the descriptor non-blocking; it is written directly, since what a socket has queued is lost at an exit. */
	readonly #descriptor: Socket;

	private constructor(fd: number) {
		this.#fd = fd;
		this.#descriptor = new Socket({fd, readable: false, writable: true});
	}

	write(text: string): void {
		if (this.#isBroken || this.#descriptor.destroyed || this.#pending.length > MAX_PENDING_BYTES) {
			this.#lostBytes += text.length;
			return;
		}

		const notice = this.#lostBytes === 0 ? '' : `${JSON.stringify({level: 40, msg: 'log: output was dropped because standard output was not read', lostBytes: this.#lostBytes})}\n`;
		this.#lostBytes = 0;
		this.#pending = Buffer.concat([this.#pending, Buffer.from(notice + text)]);
		this.#offer();
	}

	/** Offers the queued output until the reader has taken it, or takes no more. Blocks, for the exit of the process. */
	finish(): void {
		let progressAt = performance.now();
		while (this.#pending.length > 0 && performance.now() - progressAt < this.#exitPatienceMs) {
			if (this.#writeOnce()) {
				progressAt = performance.now();
			}
		}

		if (this.#pending.length > 0) {
			this.#exitPatienceMs = 0;
		}
	}

	#offer(): void {
		let isTaken = true;
		while (isTaken && this.#pending.length > 0) {
			isTaken = this.#writeOnce();
		}

		if (this.#pending.length > 0 && !this.#isRetrying) {
			this.#isRetrying = true;
			setTimeout(() => {
				this.#isRetrying = false;
				this.#offer();
			}, RETRY_INTERVAL_MS);
		}
	}

	/** Returns whether some output was taken. */
	#writeOnce(): boolean {
		try {
			const bytes = writeSync(this.#fd, this.#pending);
			this.#pending = this.#pending.subarray(bytes);
			return bytes > 0;
		} catch (error) {
			if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') {
				this.#isBroken = true;
				this.#pending = new Uint8Array();
			}

			return false;
		}
	}
}
