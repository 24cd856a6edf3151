/** Small helpers over node:http for the platform stand-in. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** A call that is answered with a status and a message instead of being carried out. */
export type Refusal = {readonly status: number; readonly message: string};

/** Body of a request: its JSON value and the size of its text in bytes. */
export type Body
	= | {readonly kind: 'json'; readonly value: unknown}
		| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Longest request text in bytes that is read; JSON escapes can make a permitted value this long. */
const MAX_TEXT_BYTES = 8_000_000;

/** Reads a JSON body. A longer or malformed one is refused. */
export async function readBody(req: IncomingMessage): Promise<Body> {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const part of req as AsyncIterable<Uint8Array>) {
		size += part.length;
		if (size <= MAX_TEXT_BYTES) {
			parts.push(part);
		}
	}

	if (size > MAX_TEXT_BYTES) {
		return {kind: 'refused', refusal: {status: 413, message: 'the body is too large'}};
	}

	try {
		return {kind: 'json', value: JSON.parse(Buffer.concat(parts).toString('utf8')) as unknown};
	} catch {
		return {kind: 'refused', refusal: {status: 400, message: 'the body is not JSON'}};
	}
}

/** Sends a JSON answer. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
	const text = JSON.stringify(value);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
}
