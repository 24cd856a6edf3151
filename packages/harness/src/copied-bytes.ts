/** Counts the bytes that code copies, as a measure of its work that does not depend on the machine. */
import {Buffer} from 'node:buffer';

export type CopiedBytes = {
	readonly bytes: number;
	/** Ends the count. */
	readonly stop: () => void;
};

/** Counts the bytes that `Buffer.concat` and `TypedArray.set` copy in this process until it is stopped. */
export function countCopiedBytes(): CopiedBytes {
	let bytes = 0;
	const {concat} = Buffer;
	const set = Reflect.get(Uint8Array.prototype, 'set');
	Buffer.concat = (list, length) => {
		const joined = concat(list, length);
		bytes += joined.length;
		return joined;
	};

	Reflect.defineProperty(Uint8Array.prototype, 'set', {
		configurable: true,
		value(this: Uint8Array, source: ArrayLike<number>, offset?: number) {
			bytes += source.length;
			set.call(this, source, offset);
		},
	});
	return {
		get bytes() {
			return bytes;
		},
		stop() {
			Buffer.concat = concat;
			// The method is inherited.
			Reflect.deleteProperty(Uint8Array.prototype, 'set');
		},
	};
}
