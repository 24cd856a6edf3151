/** Many callers at once that send what a process does not expect, or more than it can hold, for tests of its bounds. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {sleep, type Address} from '#core';

/** What each caller of a crowd sends. Whenever its connection is closed, it opens a new one and begins again. */
export type CallerScript
	/** Sends a message whose end only one caller in five sends; the others stay connected without it. */
	= | {readonly kind: 'stopping'; readonly start: string; readonly block: string; readonly blocks: number; readonly end: string; /** Time between two blocks, in ms. */ readonly pauseMs?: number}
	/** Sends whole messages, each after the answer to the one before. */
		| {readonly kind: 'repeating'; readonly start: string; readonly message: string}
	/** Sends whole messages one behind the other, and reads nothing. */
		| {readonly kind: 'unread'; readonly start: string; readonly message: string};

/** One caller in so many sends the end of its message. */
const ENDING_SHARE = 5;

/** Time after which a caller opens a new connection, in ms. */
const RECONNECT_MS = 100;

/** Runs a crowd until the signal aborts; all its connections are closed then. */
export function runCrowd(target: Address, {callers, script}: {readonly callers: number; readonly script: CallerScript}, signal: AbortSignal): void {
	const compiled = compile(script);
	for (let i = 0; i < callers; i += 1) {
		void callAgainAndAgain(target, compiled, i % ENDING_SHARE === 0, signal);
	}
}

/** The script's texts as bytes, which are shared by all callers. */
type CompiledScript
	= | {readonly kind: 'stopping'; readonly start: Uint8Array; readonly block: Uint8Array; readonly blocks: number; readonly end: Uint8Array; readonly pauseMs: number}
		| {readonly kind: 'repeating' | 'unread'; readonly start: Uint8Array; readonly message: Uint8Array};

function compile(script: CallerScript): CompiledScript {
	const bytes = (text: string) => Buffer.from(text, 'latin1');
	switch (script.kind) {
		case 'stopping': {
			const {start, block, blocks, end, pauseMs = 0} = script;
			return {
				kind: 'stopping', start: bytes(start), block: bytes(block), blocks, end: bytes(end), pauseMs,
			};
		}

		case 'repeating':
		case 'unread': {
			return {kind: script.kind, start: bytes(script.start), message: bytes(script.message)};
		}
	}
}

async function callAgainAndAgain(target: Address, script: CompiledScript, hasEnd: boolean, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		const socket = connect(target);
		const closeSocket = () => {
			socket.destroy();
		};

		signal.addEventListener('abort', closeSocket);
		const closed = new Promise<void>(resolve => {
			socket.on('error', () => undefined).once('close', () => {
				resolve();
			});
		});
		void send(socket, script, hasEnd);
		await closed;
		signal.removeEventListener('abort', closeSocket);
		await sleep(RECONNECT_MS, signal);
	}
}

async function send(socket: Socket, script: CompiledScript, hasEnd: boolean): Promise<void> {
	await write(socket, script.start);
	switch (script.kind) {
		case 'stopping': {
			socket.resume();
			await sendMessage(socket, script, hasEnd);
			return;
		}

		case 'repeating': {
			while (!socket.destroyed) {
				await write(socket, script.message);
				await answered(socket);
			}

			return;
		}

		case 'unread': {
			while (!socket.destroyed) {
				await write(socket, script.message);
			}
		}
	}
}

/** Sends the blocks of a message. With its end it is answered, and the connection is closed for the next message. */
async function sendMessage(socket: Socket, {block, blocks, end, pauseMs}: Extract<CompiledScript, {kind: 'stopping'}>, hasEnd: boolean): Promise<void> {
	for (let sent = 0; sent < blocks && !socket.destroyed; sent += 1) {
		await write(socket, block);
		if (pauseMs > 0) {
			await sleep(pauseMs);
		}
	}

	if (hasEnd && !socket.destroyed) {
		await write(socket, end);
		await answered(socket);
		socket.destroy();
	}
}

/** Writes bytes; settles when the socket takes more of them, or is closed. */
async function write(socket: Socket, bytes: Uint8Array): Promise<void> {
	if (socket.destroyed || socket.write(bytes)) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			socket.off('drain', finish).off('close', finish);
			resolve();
		};

		socket.once('drain', finish).once('close', finish);
	});
}

/** Settles when something is received, or the connection is closed. */
async function answered(socket: Socket): Promise<void> {
	if (socket.destroyed) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			socket.off('data', finish).off('close', finish);
			resolve();
		};

		socket.once('data', finish).once('close', finish);
	});
}
