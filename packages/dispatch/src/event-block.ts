/** Tells what a block of lines in an event stream is. It looks at bytes: a string for each line would cost far more than a short line does. */
import {Buffer} from 'node:buffer';

/** What a block of lines in a stream is. */
export type Block
	= | {readonly kind: 'event'; readonly id: number | undefined}
		/** A comment, or blank lines. */
		| {readonly kind: 'comment'}
		| {readonly kind: 'malformed'};

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 0x3A;
const SPACE = 0x20;

const ID_PREFIX = Buffer.from('id:');

/** Fields that may stand without a colon. A status line of HTTP is neither that nor a field with a value. */
const BARE_FIELDS = ['data', 'event', 'id', 'retry'].map(name => Buffer.from(name));

/** What one line is. */
type Line = 'skipped' | 'field' | 'malformed';

/** Reads a block of complete lines. */
export function parseBlock(bytes: Uint8Array): Block {
	let hasField = false;
	let id: number | undefined;
	for (let start = 0; start < bytes.length;) {
		const lineFeed = bytes.indexOf(LINE_FEED, start);
		const next = lineFeed === -1 ? bytes.length : lineFeed + 1;
		const end = endOfLine(bytes, start, next);
		switch (classifyLine(bytes, start, end)) {
			case 'skipped': {
				break;
			}

			case 'field': {
				hasField = true;
				id ??= readId(bytes, start, end);
				break;
			}

			case 'malformed': {
				return {kind: 'malformed'};
			}
		}

		start = next;
	}

	return hasField ? {kind: 'event', id} : {kind: 'comment'};
}

/** Offset of the line feed that ends a line, or of the carriage return before it. `next` is the offset of the next line. */
function endOfLine(bytes: Uint8Array, start: number, next: number): number {
	if (bytes[next - 1] !== LINE_FEED) {
		return next;
	}

	return next - 2 >= start && bytes[next - 2] === CARRIAGE_RETURN ? next - 2 : next - 1;
}

function classifyLine(bytes: Uint8Array, start: number, end: number): Line {
	if (start === end || bytes[start] === COLON) {
		return 'skipped';
	}

	let at = start;
	while (at < end && isNameByte(bytes[at]!)) {
		at += 1;
	}

	if (at < end) {
		return at > start && bytes[at] === COLON ? 'field' : 'malformed';
	}

	return BARE_FIELDS.some(name => name.length === end - start && name.every((byte, i) => byte === bytes[start + i])) ? 'field' : 'malformed';
}

/** Whether a byte may be part of a field's name: a letter, a digit, `_` or `-`. */
function isNameByte(byte: number): boolean {
	return (byte >= 0x61 && byte <= 0x7A) || (byte >= 0x41 && byte <= 0x5A) || isDigit(byte) || byte === 0x5F || byte === 0x2D;
}

function isDigit(byte: number): boolean {
	return byte >= 0x30 && byte <= 0x39;
}

/** The id in a line `id: NUMBER`; the space may be missing. */
function readId(bytes: Uint8Array, start: number, end: number): number | undefined {
	if (!ID_PREFIX.every((byte, i) => byte === bytes[start + i])) {
		return undefined;
	}

	const afterColon = start + ID_PREFIX.length;
	const digits = bytes.subarray(bytes[afterColon] === SPACE ? afterColon + 1 : afterColon, end);
	return digits.length > 0 && digits.every(byte => isDigit(byte)) ? Number(Buffer.from(digits).toString('latin1')) : undefined;
}
