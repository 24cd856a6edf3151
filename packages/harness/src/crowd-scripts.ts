/** Scripts of callers that send bodies over HTTP, or messages over WebSockets, in ways that a process has to bound. */
import type {CallerScript} from './caller-crowd.js';

export type NamedScript = {readonly name: string; readonly script: CallerScript};

const BLOCK_BYTES = 64 * 1024;
const PIECE_BYTES = 8 * 1024;

/** Bytes of a body or message that is far over the limit. */
const EXCESSIVE_BYTES = 60_000_000;

/** Units of one byte that are written at once. */
const UNITS_PER_BLOCK = 1024;

/** Time between two pieces, in ms. */
const PIECE_PAUSE_MS = 2;

export type BodyScriptOptions = {
	/** Request line and header lines, without those that delimit the body. */
	readonly head: string;
	/** Largest body that is within the limits, in bytes; a multiple of 64 KiB. */
	readonly maxBytes: number;
};

/** Bodies of HTTP requests. */
export function createBodyScripts({head, maxBytes}: BodyScriptOptions): readonly NamedScript[] {
	const chunkedHead = `${head}Transfer-Encoding: chunked\r\n\r\n`;
	const sizedHead = (bytes: number) => `${head}Content-Length: ${bytes}\r\n\r\n`;
	const block = 'x'.repeat(BLOCK_BYTES);
	const chunk = (bytes: number) => `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
	const whole = `${sizedHead(maxBytes)}${'x'.repeat(maxBytes)}`;
	return [
		{
			name: 'bodies in large chunks that stop before their end', script: {
				kind: 'stopping', start: chunkedHead, block: chunk(BLOCK_BYTES), blocks: (maxBytes / BLOCK_BYTES) - 1, end: '0\r\n\r\n',
			},
		},
		{
			name: 'bodies in chunks of one byte that stop before their end', script: {
				kind: 'stopping', start: chunkedHead, block: chunk(1).repeat(UNITS_PER_BLOCK), blocks: 64, end: '0\r\n\r\n',
			},
		},
		{
			name: 'bodies over the limit with a length', script: {
				kind: 'stopping', start: sizedHead(EXCESSIVE_BYTES), block, blocks: EXCESSIVE_BYTES / BLOCK_BYTES, end: '',
			},
		},
		{
			name: 'bodies over the limit without a length', script: {
				kind: 'stopping', start: chunkedHead, block: chunk(BLOCK_BYTES), blocks: Infinity, end: '',
			},
		},
		{
			name: 'whole bodies', script: {kind: 'repeating', start: '', message: whole},
		},
		{
			name: 'bodies in pieces that stop before their end', script: {
				kind: 'stopping', start: sizedHead(maxBytes), block: 'x'.repeat(PIECE_BYTES), blocks: (maxBytes / PIECE_BYTES) - 1, end: 'x'.repeat(PIECE_BYTES), pauseMs: PIECE_PAUSE_MS,
			},
		},
		{
			name: 'whole bodies one behind the other whose answers are not read', script: {kind: 'unread', start: '', message: whole},
		},
	];
}

/** Request that opens a WebSocket. */
const UPGRADE = 'GET / HTTP/1.1\r\nHost: peer.example\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\nSec-WebSocket-Version: 13\r\n\r\n';

/** Opcodes of a frame, with the flag of a message's last frame. */
const OPCODES = {
	wholeBinary: 0x82, firstBinary: 0x02, continuation: 0x00, lastContinuation: 0x80,
} as const;

/** Head of a client's frame whose mask is zero, so that its payload is sent as it is. */
function frameHead(opcode: number, bytes: number): string {
	const length = [0, 0, 0, 0, ...[24, 16, 8, 0].map(shift => Math.floor(bytes / (2 ** shift)) % 256)];
	return String.fromCodePoint(opcode, 0xFF, ...length, 0, 0, 0, 0);
}

/** @param maxBytes - Largest message that is within the limits, in bytes; a multiple of 64 KiB. */
export function createMessageScripts(maxBytes: number): readonly NamedScript[] {
	const block = 'x'.repeat(BLOCK_BYTES);
	const first = frameHead(OPCODES.firstBinary, 0);
	const fragment = (bytes: number) => `${frameHead(OPCODES.continuation, bytes)}${'x'.repeat(bytes)}`;
	const last = frameHead(OPCODES.lastContinuation, 0);
	const whole = `${frameHead(OPCODES.wholeBinary, maxBytes)}${'x'.repeat(maxBytes)}`;
	return [
		{
			name: 'messages that stop before their end', script: {
				kind: 'stopping', start: `${UPGRADE}${frameHead(OPCODES.wholeBinary, maxBytes)}`, block, blocks: (maxBytes / BLOCK_BYTES) - 1, end: block,
			},
		},
		{
			name: 'messages in fragments of one byte that stop before their end', script: {
				kind: 'stopping', start: `${UPGRADE}${first}`, block: fragment(1).repeat(UNITS_PER_BLOCK), blocks: 64, end: last,
			},
		},
		{
			name: 'messages over the limit with a length', script: {
				kind: 'stopping', start: `${UPGRADE}${frameHead(OPCODES.wholeBinary, EXCESSIVE_BYTES)}`, block, blocks: EXCESSIVE_BYTES / BLOCK_BYTES, end: '',
			},
		},
		{
			name: 'messages over the limit in fragments', script: {
				kind: 'stopping', start: `${UPGRADE}${first}`, block: fragment(BLOCK_BYTES), blocks: Infinity, end: '',
			},
		},
		{
			name: 'whole messages', script: {kind: 'repeating', start: UPGRADE, message: whole},
		},
		{
			name: 'messages in pieces that stop before their end', script: {
				kind: 'stopping', start: `${UPGRADE}${frameHead(OPCODES.wholeBinary, maxBytes)}`, block: 'x'.repeat(PIECE_BYTES), blocks: (maxBytes / PIECE_BYTES) - 1, end: 'x'.repeat(PIECE_BYTES), pauseMs: PIECE_PAUSE_MS,
			},
		},
		{
			name: 'whole messages one behind the other whose answers are not read', script: {kind: 'unread', start: UPGRADE, message: whole},
		},
	];
}
