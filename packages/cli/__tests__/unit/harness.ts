/** Runs commands in the test's process, with files in memory and a clock that only delays move. */
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {Buffer} from 'node:buffer';
import {request} from 'undici';
import {runCli, type CliContext} from '#cli';
import {PlatformServer} from '#standins-platform';

export const PLATFORM_KEY = 'platform-key-0123456789';
export const OPERATOR_KEY = 'operator-key-0123456789';
const START = Date.UTC(2026, 11, 5, 12);

export type Outcome = {readonly code: number; readonly out: string; readonly err: string};

export type RunOptions = {
	readonly files?: Readonly<Record<string, string | Uint8Array>>;
	/** Runs at each delay; the count starts at 1. */
	readonly onDelay?: (count: number) => void;
};

let ids = 0;

/** Runs one command. */
export async function run(args: readonly string[], {files = {}, onDelay}: RunOptions = {}): Promise<Outcome> {
	let out = '';
	let err = '';
	let now = START;
	let delays = 0;
	const all: Readonly<Record<string, string | Uint8Array>> = {'p.key': `${PLATFORM_KEY}\n`, 'o.key': OPERATOR_KEY, ...files};
	const context: CliContext = {
		print(text) {
			out += text;
		},
		tell(text) {
			err += text;
		},
		readFile(path) {
			const content = all[path];
			if (content === undefined) {
				throw new Error(`no file ${path}`);
			}

			return Buffer.from(content);
		},
		now: () => now,
		createId() {
			ids += 1;
			return `write-${ids}`;
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

/** Options for the platform. */
export function at(url: string): readonly string[] {
	return ['--platform', url, '--platform-key-file', 'p.key'];
}

/** Options for an entry. */
export function atEntry(url: string): readonly string[] {
	return ['--entry', url, '--operator-key-file', 'o.key'];
}

/** A platform stand-in that wants the key of `p.key`. */
export async function startPlatform(): Promise<PlatformServer> {
	return PlatformServer.create({key: PLATFORM_KEY});
}

export type Listening = {readonly url: string; readonly close: () => void};

export type Received = {readonly method: string; readonly url: string; readonly authorization: string; readonly body: string};

/** Starts an HTTP server on a free port. */
export async function listen(handle: (req: Received, res: ServerResponse) => Promise<void> | void): Promise<Listening> {
	const server: Server = createServer((req, res) => {
		const parts: string[] = [];
		req.setEncoding('utf8');
		req.on('data', (part: string) => {
			parts.push(part);
		});
		req.on('end', () => {
			void handle({
				method: req.method ?? '', url: req.url ?? '', authorization: req.headers.authorization ?? '', body: parts.join(''),
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

/** Passes calls on to the platform; `intercept` runs before each write and drops its answer when it returns `lose`. */
export async function startProxy(platform: PlatformServer, intercept: () => Promise<'lose' | 'pass'>): Promise<Listening> {
	return listen(async ({method, url, authorization, body}, res) => {
		const fate = method === 'GET' ? 'pass' : await intercept();
		const answer = await request(`${platform.url}${url}`, {
			method, headers: {authorization, 'content-type': 'application/json'}, body: body === '' ? null : body,
		});
		const text = await answer.body.text();
		if (fate === 'lose') {
			platform.setFaults({down: true});
			res.destroy();
		} else {
			res.writeHead(answer.statusCode).end(text);
		}
	});
}
