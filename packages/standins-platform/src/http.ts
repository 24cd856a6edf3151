/** Helpers for node:http in the platform stand-in. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';

/** Status and message of a call that is refused instead of executed. */
export type Refusal = {readonly status: number; readonly message: string};

/** Parsed JSON body of a request, or the refusal of an invalid one. */
export type Body
	= | {readonly kind: 'json'; readonly value: unknown}
		| {readonly kind: 'refused'; readonly refusal: Refusal};

/** Maximum body size in bytes; JSON escapes can make a permitted value this long. */
const MAX_BODY_BYTES = 8_000_000;

/** Reads a JSON body; one that is too long or malformed is refused. */
export async function readBody(req: IncomingMessage): Promise<Body> {
	const chunks: Uint8Array[] = [];
	let size = 0;
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		size += chunk.length;
		if (size <= MAX_BODY_BYTES) {
			chunks.push(chunk);
		}
	}

	if (size > MAX_BODY_BYTES) {
		return {kind: 'refused', refusal: {status: 413, message: 'the body is too large'}};
	}

	try {
		return {kind: 'json', value: JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown};
	} catch {
		return {kind: 'refused', refusal: {status: 400, message: 'the body is not JSON'}};
	}
}

/** Sends a JSON response. */
export function sendJson(res: ServerResponse, status: number, value: unknown): void {
	const text = JSON.stringify(value);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	res.end(text);
}
