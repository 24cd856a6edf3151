import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** The xxhash64 of a UTF-8 text as 16 hex digits. */
export function hashText(text: string): string {
	return hasher.h64ToString(text).padStart(16, '0');
}

/** The xxhash64 of bytes as 16 hex digits. */
export function hashBytes(bytes: Uint8Array): string {
	return hasher.h64Raw(bytes).toString(16).padStart(16, '0');
}
