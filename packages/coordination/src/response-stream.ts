/** The body of one request's answer over all its attempts: offsets, running hash, and the check at the end. */
import type {XXHash, XXHashAPI} from 'xxhash-wasm';

/** Verdict on a chunk or an end that is in its place. */
export type StreamResult
	= | {readonly kind: 'bytes'; readonly bytes: Uint8Array}
		| {readonly kind: 'complete'; readonly totalBytes: number}
		| {readonly kind: 'diverged'}
		| {readonly kind: 'corrupt'; readonly received: number; readonly hash: string};

/** Why a chunk or an end is not in its place. */
export type StreamDropReason = 'before-head' | 'duplicate' | 'gap' | 'overlap';

/** Hash over a restarted answer until it reaches the bytes that were delivered before. */
type PrefixCheck = {readonly hash: XXHash<bigint>; readonly until: number};

const HASH_DIGITS = 16;
const NO_BYTES = new Uint8Array(0);

/** Answer body of one request. */
export class ResponseStream {
	/** Creates the stream of a request; `begin` starts its first attempt. */
	static create(hashes: XXHashAPI): ResponseStream {
		return new ResponseStream(hashes);
	}

	readonly #hashes: XXHashAPI;
	/** Running hash over all delivered bytes. */
	readonly #hash: XXHash<bigint>;
	#deliveredBytes = 0;
	/** Bytes received in this attempt, counted from the start of the body. */
	#offset = 0;
	#check: PrefixCheck | undefined;
	#needsHead = true;
	#headTaken = false;
	#over = false;

	private constructor(hashes: XXHashAPI) {
		this.#hashes = hashes;
		this.#hash = hashes.create64();
	}

	/** Whether the current attempt has ended in any way. */
	get over(): boolean {
		return this.#over;
	}

	/** Byte offset that the next chunk must have. */
	get nextOffset(): number {
		return this.#offset;
	}

	/** Bytes delivered over all attempts, their hash, and whether the last attempt's answer is known to begin with them. */
	get delivered(): {readonly offset: number; readonly hash: string; readonly resumable: boolean} {
		return {offset: this.#deliveredBytes, hash: hexOf(this.#hash), resumable: this.#check === undefined};
	}

	/** Starts an attempt. */
	begin(mode: 'restart' | 'resume'): void {
		const restarts = mode === 'restart';
		this.#offset = restarts ? 0 : this.#deliveredBytes;
		this.#check = restarts && this.#deliveredBytes > 0 ? {hash: this.#hashes.create64(), until: this.#deliveredBytes} : undefined;
		// A resumed answer may leave the head out, since the caller has it already.
		this.#needsHead = this.#offset === 0;
		this.#headTaken = false;
		this.#over = false;
	}

	/** Ends the attempt without a complete answer. */
	stop(): void {
		this.#over = true;
	}

	/** Takes the head; false if it came before. */
	takeHead(): boolean {
		const first = !this.#headTaken;
		this.#headTaken = true;
		return first;
	}

	/** Takes the bytes at a byte offset. */
	takeChunk(offset: number, bytes: Uint8Array): StreamDropReason | StreamResult {
		if (this.#needsHead && !this.#headTaken) {
			return 'before-head';
		}

		if (offset > this.#offset) {
			return 'gap';
		}

		if (offset < this.#offset) {
			return offset + bytes.length > this.#offset ? 'overlap' : 'duplicate';
		}

		this.#offset += bytes.length;
		return this.#check === undefined ? this.#deliver(bytes) : this.#compare(this.#check, bytes);
	}

	/** Takes the end: the length of the whole body in bytes, and its hash. */
	takeEnd(totalBytes: number, hash: string): StreamDropReason | StreamResult {
		if (this.#needsHead && !this.#headTaken) {
			return 'before-head';
		}

		this.#over = true;
		if (this.#check !== undefined) {
			return {kind: 'diverged'};
		}

		const actual = hexOf(this.#hash);
		return totalBytes === this.#offset && hash === actual
			? {kind: 'complete', totalBytes}
			: {kind: 'corrupt', received: this.#offset, hash: actual};
	}

	#deliver(bytes: Uint8Array): StreamResult {
		this.#hash.update(bytes);
		this.#deliveredBytes += bytes.length;
		return {kind: 'bytes', bytes};
	}

	#compare(check: PrefixCheck, bytes: Uint8Array): StreamResult {
		const known = Math.max(0, bytes.length - (this.#offset - check.until));
		check.hash.update(bytes.subarray(0, known));
		if (this.#offset < check.until) {
			return {kind: 'bytes', bytes: NO_BYTES};
		}

		if (hexOf(check.hash) !== hexOf(this.#hash)) {
			this.#over = true;
			return {kind: 'diverged'};
		}

		this.#check = undefined;
		return this.#deliver(bytes.subarray(known));
	}
}

function hexOf(hash: XXHash<bigint>): string {
	return hash.digest().toString(16).padStart(HASH_DIGITS, '0');
}
