/** Incremental xxhash64 checksum of a response body. */
import xxhash from 'xxhash-wasm';

const xxhashApi = await xxhash();
const HEX_DIGITS = 16;

/** Checksum of all bytes added so far. */
export class Checksum {
	static create(): Checksum {
		return new Checksum();
	}

	readonly #state = xxhashApi.create64();
	#bytes = 0;

	private constructor() {
		// Created by `create` only.
	}

	/** Number of bytes added so far. */
	get bytes(): number {
		return this.#bytes;
	}

	add(data: Uint8Array): void {
		this.#state.update(data);
		this.#bytes += data.length;
	}

	/** Hash of the bytes added so far, as 16 hex digits. More bytes can be added afterwards. */
	digest(): string {
		return this.#state.digest().toString(16).padStart(HEX_DIGITS, '0');
	}
}
