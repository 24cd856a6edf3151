/** Response body of one request across all its attempts: offsets, running hash, and the check at the end. */
import type {XXHash, XXHashAPI} from 'xxhash-wasm';

/** Result of a chunk or an end that is in sequence. */
export type StreamResult
	= | {readonly kind: 'bytes'; readonly bytes: Uint8Array}
		| {readonly kind: 'complete'; readonly totalBytes: number}
		| {readonly kind: 'diverged'}
		| {readonly kind: 'corrupt'; readonly received: number; readonly hash: string};

/** Reason that a chunk or an end is out of sequence. */
export type StreamDropReason = 'before-head' | 'duplicate' | 'gap' | 'overlap';

/** Hash of a restarted response up to `until`, the number of bytes that were delivered before. */
type PrefixCheck = {readonly hash: XXHash<bigint>; readonly until: number};

const HASH_DIGITS = 16;
const NO_BYTES = new Uint8Array(0);

/** Response body of one request. */
export class ResponseStream {
	/** Creates the stream of a request; `begin` starts its first attempt. */
	static create(hashes: XXHashAPI): ResponseStream {
		return new ResponseStream(hashes);
	}

	readonly #hashes: XXHashAPI;
	/** Running hash over all delivered bytes. */
	readonly #hash: XXHash<bigint>;
	#deliveredBytes = 0;
	/** Byte offset up to which the body was received in this attempt. */
	#offset = 0;
	#prefixCheck: PrefixCheck | undefined;
	#isHeadRequired = true;
	#hasHead = false;
	#isEnded = false;

	private constructor(hashes: XXHashAPI) {
		this.#hashes = hashes;
		this.#hash = hashes.create64();
	}

	/** Whether the current attempt has ended in any way. */
	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** Byte offset that the next chunk must have. */
	get nextOffset(): number {
		return this.#offset;
	}

	/** Bytes delivered across all attempts, their hash, and whether the last attempt's response is known to begin with them. */
	get delivered(): {readonly offset: number; readonly hash: string; readonly resumable: boolean} {
		return {offset: this.#deliveredBytes, hash: toHex(this.#hash), resumable: this.#prefixCheck === undefined};
	}

	/** Starts an attempt. */
	begin(mode: 'restart' | 'resume'): void {
		const isRestart = mode === 'restart';
		this.#offset = isRestart ? 0 : this.#deliveredBytes;
		this.#prefixCheck = isRestart && this.#deliveredBytes > 0 ? {hash: this.#hashes.create64(), until: this.#deliveredBytes} : undefined;
		// A resumed response may omit the head, since the caller has it already.
		this.#isHeadRequired = this.#offset === 0;
		this.#hasHead = false;
		this.#isEnded = false;
	}

	/** Ends the attempt without a complete response. */
	end(): void {
		this.#isEnded = true;
	}

	/** Handles the head; false if it was received before. */
	receiveHead(): boolean {
		const isFirst = !this.#hasHead;
		this.#hasHead = true;
		return isFirst;
	}

	/** Handles the bytes at a byte offset of the body. */
	receiveChunk(offset: number, bytes: Uint8Array): StreamDropReason | StreamResult {
		if (this.#isHeadRequired && !this.#hasHead) {
			return 'before-head';
		}

		if (offset > this.#offset) {
			return 'gap';
		}

		if (offset < this.#offset) {
			return offset + bytes.length > this.#offset ? 'overlap' : 'duplicate';
		}

		this.#offset += bytes.length;
		return this.#prefixCheck === undefined ? this.#deliver(bytes) : this.#compareWithDelivered(this.#prefixCheck, bytes);
	}

	/** Handles the end, with the length of the whole body in bytes and its hash. */
	receiveEnd(totalBytes: number, hash: string): StreamDropReason | StreamResult {
		if (this.#isHeadRequired && !this.#hasHead) {
			return 'before-head';
		}

		this.#isEnded = true;
		if (this.#prefixCheck !== undefined) {
			return {kind: 'diverged'};
		}

		const actual = toHex(this.#hash);
		return totalBytes === this.#offset && hash === actual
			? {kind: 'complete', totalBytes}
			: {kind: 'corrupt', received: this.#offset, hash: actual};
	}

	#deliver(bytes: Uint8Array): StreamResult {
		this.#hash.update(bytes);
		this.#deliveredBytes += bytes.length;
		return {kind: 'bytes', bytes};
	}

	#compareWithDelivered(check: PrefixCheck, bytes: Uint8Array): StreamResult {
		const comparedLength = Math.max(0, bytes.length - (this.#offset - check.until));
		check.hash.update(bytes.subarray(0, comparedLength));
		if (this.#offset < check.until) {
			return {kind: 'bytes', bytes: NO_BYTES};
		}

		if (toHex(check.hash) !== toHex(this.#hash)) {
			this.#isEnded = true;
			return {kind: 'diverged'};
		}

		this.#prefixCheck = undefined;
		return this.#deliver(bytes.subarray(comparedLength));
	}
}

function toHex(hash: XXHash<bigint>): string {
	return hash.digest().toString(16).padStart(HASH_DIGITS, '0');
}
