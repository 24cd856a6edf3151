/** Running xxhash64 over the bytes of an answer. */
import xxhash from 'xxhash-wasm';

const api = await xxhash();
const HEX_DIGITS = 16;

/** Hash of all bytes that were added so far. */
export class Checksum {
	static create(): Checksum {
		return new Checksum();
	}

	readonly #state = api.create64();
	#bytes = 0;

	private constructor() {
		// Created by `create` only.
	}

	/** Number of bytes added. */
	get bytes(): number {
		return this.#bytes;
	}

	add(data: Uint8Array): void {
		this.#state.update(data);
		this.#bytes += data.length;
	}

	/** Hash so far as 16 hex digits. More bytes can be added after it. */
	digest(): string {
		return this.#state.digest().toString(16).padStart(HEX_DIGITS, '0');
	}
}
