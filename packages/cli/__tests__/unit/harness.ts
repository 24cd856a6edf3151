/** Runs commands in the test process, with files in memory and a clock that only delays advance. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {runCli, type CliContext} from '#cli';
import {PlatformServer} from '#standins-platform';

export const PLATFORM_KEY = 'platform-key-0123456789';
export const OPERATOR_KEY = 'operator-key-0123456789';
const START_TIME_MS = Date.UTC(2026, 11, 5, 12);

export type CommandResult = {readonly code: number; readonly out: string; readonly err: string};

export type RunOptions = {
	readonly files?: Readonly<Record<string, string | Uint8Array>>;
	/** Called at each delay; the count starts at 1. */
	readonly onDelay?: (count: number) => void;
};

let writeCount = 0;

/** Runs one command. */
export async function run(args: readonly string[], {files = {}, onDelay}: RunOptions = {}): Promise<CommandResult> {
	let out = '';
	let err = '';
	let now = START_TIME_MS;
	let delays = 0;
	const allFiles: Readonly<Record<string, string | Uint8Array>> = {'p.key': `${PLATFORM_KEY}\n`, 'o.key': OPERATOR_KEY, ...files};
	const context: CliContext = {
		writeStdout(text) {
			out += text;
		},
		writeStderr(text) {
			err += text;
		},
		readFile(path) {
			const content = allFiles[path];
			if (content === undefined) {
				throw new Error(`no file ${path}`);
			}

			return Buffer.from(content);
		},
		now: () => now,
		createId() {
			writeCount += 1;
			return `write-${writeCount}`;
		},
		async delay(ms) {
			now += ms;
			delays += 1;
			onDelay?.(delays);
		},
		version: '9.9.9',
	};
	const code = await runCli(args, context);
	return {code, out, err};
}

/** Command-line options that name the platform and its key. */
export function platformOptions(url: string): readonly string[] {
	return ['--platform', url, '--platform-key-file', 'p.key'];
}

/** Command-line options that name an entry and its key. */
export function entryOptions(url: string): readonly string[] {
	return ['--entry', url, '--operator-key-file', 'o.key'];
}

/** Starts a platform stand-in that requires the key in `p.key`. */
export async function startPlatform(): Promise<PlatformServer> {
	return PlatformServer.create({key: PLATFORM_KEY});
}

export type TestServer = {readonly url: string; readonly close: () => void};

export type ReceivedRequest = {readonly method: string; readonly url: string; readonly authorization: string; readonly body: string};

/** Starts an HTTP server on a free port. */
export async function startServer(handle: (req: ReceivedRequest, res: ServerResponse) => Promise<void> | void): Promise<TestServer> {
	const server: Server = createServer((req, res) => {
		const chunks: string[] = [];
		req.setEncoding('utf8');
		req.on('data', (chunk: string) => {
			chunks.push(chunk);
		});
		req.on('end', () => {
			void handle({
				method: req.method ?? '', url: req.url ?? '', authorization: req.headers.authorization ?? '', body: chunks.join(''),
			}, res);
		});
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/**
 * Forwards requests to the platform. `intercept` runs before each write; when it returns `drop-response`,
 * the platform performs the write, then goes down, and the caller's connection is closed.
 */
export async function startProxy(platform: PlatformServer, intercept: () => Promise<'drop-response' | 'forward'>): Promise<TestServer> {
	return startServer(async ({method, url, authorization, body}, res) => {
		const action = method === 'GET' ? 'forward' : await intercept();
		const response = await request(`${platform.url}${url}`, {
			method, headers: {authorization, 'content-type': 'application/json'}, body: body === '' ? null : body,
		});
		const text = await response.body.text();
		if (action === 'drop-response') {
			platform.setFaults({down: true});
			res.destroy();
		} else {
			res.writeHead(response.statusCode).end(text);
		}
	});
}
