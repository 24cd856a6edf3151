/**
 * Keeps the turns of the event loop short while many callers send large bodies: it reads up to 2 MiB of each connection in a turn, and
 * accepts one new connection.
 */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Bytes that are read in one turn before further connections wait for a later one. A link of 1,000 Mbit/s is read without a wait. */
const MAX_BYTES_PER_TURN = 256 * 1024;

/** What a chunk counts beside its bytes: small ones take more time than their bytes. */
const CHUNK_OVERHEAD_BYTES = 512;

/** Connections that wait and are read on in one turn; each is read up to 64 KiB at least. */
const RESUMED_PER_TURN = 4;

/** Bodies and messages that wait at most, unless they are small; the kernel holds up to some MiB of each. */
const MAX_WAITING = 16;

/** Size up to which a body or message waits in any case: after a pause of the process, those of many callers are read at once. */
const FREE_TO_WAIT_BYTES = 128 * 1024;

/** What is read: the body of a request, or the messages of a connection. */
export type PacedSource = IncomingMessage | Socket;

export class ReadPacer {
	static create(): ReadPacer {
		return new ReadPacer();
	}

	#bytes = 0;
	/** What waits, and how it is resumed; those that have waited longest first. */
	readonly #waiting = new Map<PacedSource, () => void>();
	#isScheduled = false;

	/** Whether a body or message is to be refused instead of waiting; `bytes` is its announced length, or what was read of it. */
	isFullFor(bytes: number): boolean {
		return bytes > FREE_TO_WAIT_BYTES && this.#waiting.size >= MAX_WAITING;
	}

	/** Whether the connection of a body that was read is to be closed: while others wait, the kernel would hold ever more of the next ones. */
	closesAfter(bytes: number): boolean {
		return bytes > FREE_TO_WAIT_BYTES && this.#waiting.size > 0;
	}

	/** Notes that a chunk was read. Returns false if it is not to be read on until `resume` is called. */
	take(source: PacedSource, bytes: number, resume: () => void): boolean {
		this.#bytes += bytes + CHUNK_OVERHEAD_BYTES;
		this.#scheduleTurn();
		if (this.#bytes <= MAX_BYTES_PER_TURN) {
			return true;
		}

		this.#waiting.set(source, resume);
		return false;
	}

	/** Removes what has ended. */
	remove(source: PacedSource): void {
		this.#waiting.delete(source);
	}

	#scheduleTurn(): void {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#beginTurn();
			});
		}
	}

	#beginTurn(): void {
		this.#isScheduled = false;
		this.#bytes = 0;
		for (const [source, resume] of [...this.#waiting].slice(0, RESUMED_PER_TURN)) {
			this.#waiting.delete(source);
			resume();
		}

		if (this.#waiting.size > 0) {
			this.#scheduleTurn();
		}
	}
}
