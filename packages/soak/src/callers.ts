/** Callers of the soak test: send a constant mix of requests over keep-alive connections, each used until its process exits. */
import {once, setMaxListeners} from 'node:events';
import {
	Agent, request, type ClientRequest, type IncomingMessage,
} from 'node:http';
import {connect, type Socket} from 'node:net';
import {isServed} from './invariant-checker.js';
import type {
	Attempt, AttemptOutcome, CallConnection, CallerKey, CallObserver, CallSite, CallStyle, CallTarget, Load, LoadProfile, RequestKind,
} from './types.js';
import {isUnframed} from '#connections';
import {sleep} from '#core';
import type {Random} from '#standins-engine';

/** Time after its deadline at which an attempt without an outcome counts as hung, in ms. */
const HANG_TIMEOUT_MS = 1500;

const DEFAULT_PROFILE: LoadProfile = {
	requests: [
		{kind: 'idempotent', waitMs: 1500},
		{kind: 'at-most-once', waitMs: 1500},
		{kind: 'at-most-once', waitMs: 800},
		{kind: 'stream', waitMs: 4000},
	],
	maxEvents: 40,
	connections: ['kept'],
	maxAheadMs: 0,
};

/** Fraction of requests that use any key, including revoked ones. */
const ANY_KEY_SHARE = 0.1;

/** Interval at which a closed port is tried, in ms. */
const KNOCK_INTERVAL_MS = 5;

/** Requests that are sent at once when a port has opened. */
const KNOCK_REQUESTS = 3;

/** Time between the first and the last part of a body in chunks, in ms. */
const LATE_CHUNK_MS = 300;

/** Rate of a slow reader, in bytes per ms. */
const SLOW_READER_RATE = 1000;

export type CallersOptions = {
	readonly site: CallSite;
	readonly observer: CallObserver;
	readonly random: Random;
	readonly profile?: LoadProfile;
	/** Prefix of the ids of requests. */
	readonly idPrefix?: string;
	/** Interval between requests over all callers, in ms. */
	readonly intervalMs: number;
};

export class Callers implements Load {
	static create(options: CallersOptions): Callers {
		return new Callers(options);
	}

	readonly #agents = new Map<string, Agent>();
	readonly #pending = new Set<Promise<boolean>>();
	readonly #profile: LoadProfile;
	#count = 0;
	readonly #options: CallersOptions;

	private constructor(options: CallersOptions) {
		this.#options = options;
		this.#profile = options.profile ?? DEFAULT_PROFILE;
	}

	/** Sends requests until the signal aborts; resolves once the last has ended. */
	async run(signal: AbortSignal): Promise<void> {
		// The load and the knocking at each entry listen.
		setMaxListeners(0, signal);
		const knocking = this.#options.site.entries().map(async entry => this.#knock(entry, signal));
		while (!signal.aborted) {
			const entries = this.#options.site.entries();
			this.#track(this.#sendAttempt(entries[this.#options.random.int(0, entries.length - 1)]!, this.#pickKey()));
			await sleep(this.#options.intervalMs, signal);
		}

		await Promise.all([...this.#pending, ...knocking]);
	}

	/** Sends one request to each entry `rounds` times; returns the number that were not served. */
	async probe(rounds: number): Promise<number> {
		let failed = 0;
		for (let round = 0; round < rounds; round += 1) {
			const served = await Promise.all(this.#options.site.entries().map(async entry => this.#sendAttempt(entry, this.#pickValidKey(), {kind: this.#profile.probeKind, style: 'plain'})));
			failed += served.filter(wasServed => !wasServed).length;
		}

		return failed;
	}

	close(): void {
		for (const agent of this.#agents.values()) {
			agent.destroy();
		}
	}

	#track(attempt: Promise<boolean>): void {
		this.#pending.add(attempt);
		void attempt.then(() => this.#pending.delete(attempt));
	}

	/** Sends requests as soon as the port of an entry opens, each time. */
	async #knock(entry: CallTarget, signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const socket = connect({host: entry.host, port: entry.port});
			socket.once('connect', () => {
				for (let i = 0; i < KNOCK_REQUESTS; i += 1) {
					this.#track(this.#sendAttempt(entry, this.#pickValidKey(), {kind: 'stream'}));
				}
			});
			const end = () => {
				socket.destroy();
			};

			signal.addEventListener('abort', end, {once: true});
			socket.resume();
			// An error comes before 'close', and rejects.
			await once(socket, 'close').catch(() => undefined);
			socket.on('error', () => undefined);
			signal.removeEventListener('abort', end);
			await sleep(KNOCK_INTERVAL_MS, signal);
		}
	}

	async #sendAttempt(entry: CallTarget, key: CallerKey, only: {readonly kind?: RequestKind | undefined; readonly style?: CallStyle} = {}): Promise<boolean> {
		const {observer, random, site, idPrefix = 'r'} = this.#options;
		const {requests, maxEvents, eventIntervalMs} = this.#profile;
		this.#count += 1;
		const mix = requests.filter(({kind}) => only.kind === undefined || kind === only.kind);
		const {kind, waitMs} = mix[random.int(0, mix.length - 1)]!;
		const style = only.style ?? site.callStyles[random.int(0, site.callStyles.length - 1)]!;
		const unsent = {
			id: `${idPrefix}${this.#count}`, kind, entry: entry.name, key, style, waitMs, events: random.int(1, maxEvents), eventIntervalMs,
		};
		const socket = await this.#openAhead(entry, this.#pickConnection());
		if (socket?.destroyed === true) {
			// It was refused or closed before the request.
			return false;
		}

		const attempt: Attempt = {...unsent, sentAt: performance.now()};
		observer.sent(attempt);
		const outcome = await this.#sendRequest(entry, attempt, socket);
		observer.ended(attempt, outcome, performance.now());
		return isServed(outcome);
	}

	#pickConnection(): CallConnection {
		const {connections} = this.#profile;
		return connections.length === 1 ? connections[0]! : connections[this.#options.random.int(0, connections.length - 1)]!;
	}

	/** Opens a connection that the request doesn't share; undefined for a kept one. */
	async #openAhead({host, port}: CallTarget, connection: CallConnection): Promise<Socket | undefined> {
		switch (connection) {
			case 'kept': {
				return undefined;
			}

			case 'new': {
				return connect({host, port}).on('error', () => undefined);
			}

			case 'opened-ahead': {
				const socket = connect({host, port}).on('error', () => undefined);
				await sleep(this.#options.random.int(0, this.#profile.maxAheadMs));
				return socket;
			}
		}
	}

	#pickValidKey(): CallerKey {
		const valid = this.#options.site.keys().filter(({revokedAt}) => revokedAt === undefined);
		return valid[this.#options.random.int(0, valid.length - 1)]!;
	}

	/** Picks a key that is valid, or with a small probability any key. */
	#pickKey(): CallerKey {
		const keys = this.#options.site.keys();
		return this.#options.random.next() < ANY_KEY_SHARE ? keys[this.#options.random.int(0, keys.length - 1)]! : this.#pickValidKey();
	}

	async #sendRequest(entry: CallTarget, attempt: Attempt, socket: Socket | undefined): Promise<AttemptOutcome> {
		const {site} = this.#options;
		const {style} = attempt;
		const {method, path, headers, body} = site.encode(attempt);
		return new Promise(resolve => {
			const req = request({
				host: entry.host, port: entry.port, method, path, headers, agent: style === 'half-close' ? false : this.#getAgent(entry), ...(socket === undefined ? {} : {agent: undefined, createConnection: () => socket}),
			}, res => {
				if (style === 'slow-reader') {
					readSlowly(res);
				}

				void readOutcome(res, attempt, site.isSigned(res.headers)).then(finish);
			});
			const finish = (outcome: AttemptOutcome) => {
				clearTimeout(timer);
				resolve(outcome);
			};

			const timer = setTimeout(() => {
				finish({kind: 'hung'});
				req.destroy();
			}, attempt.waitMs + HANG_TIMEOUT_MS);
			req.on('error', err => {
				finish({kind: 'closed', reason: err.message});
			});
			sendBody(req, body, style);
		});
	}

	#getAgent({name}: CallTarget): Agent {
		let agent = this.#agents.get(name);
		if (agent === undefined) {
			agent = new Agent({keepAlive: true});
			this.#agents.set(name, agent);
		}

		return agent;
	}
}

function sendBody(req: ClientRequest, body: string | undefined, style: CallStyle): void {
	if (style === 'half-close') {
		req.once('finish', () => {
			req.socket?.end();
		});
	}

	if (style === 'late-chunk' && body !== undefined) {
		req.write(body.slice(0, -1));
		setTimeout(() => {
			req.end(body.slice(-1));
		}, LATE_CHUNK_MS);
	} else {
		req.end(body);
	}
}

function readSlowly(res: IncomingMessage): void {
	res.on('data', (text: string) => {
		res.pause();
		setTimeout(() => {
			res.resume();
		}, text.length / SLOW_READER_RATE);
	});
}

async function readOutcome(res: IncomingMessage, {kind}: Attempt, isSigned: boolean): Promise<AttemptOutcome> {
	const chunks: string[] = [];
	const isReset = isUnframed(res) ? awaitReset(res.socket) : Promise.resolve(false);
	res.setEncoding('utf8').on('data', (chunk: string) => {
		chunks.push(chunk);
	});
	return new Promise(resolve => {
		const finish = async () => {
			const body = chunks.join('');
			const isComplete = !await isReset && res.complete;
			if (kind === 'stream' && res.statusCode === 200) {
				resolve({kind: 'stream', events: parseEvents(body), isComplete});
			} else {
				resolve(isComplete
					? {
						kind: 'answer', status: res.statusCode!, body, isSigned,
					}
					: {kind: 'closed', reason: 'connection closed before the end of the answer'});
			}
		};

		res.on('error', () => undefined);
		res.once('close', () => {
			void finish();
		});
	});
}

/** Whether a connection ends by a reset; Node's parser takes one for the end of a response without a length, and its sockets do where it is polled together with the last bytes. */
async function awaitReset(socket: Socket): Promise<boolean> {
	return new Promise(resolve => {
		socket.prependOnceListener('end', () => {
			// A write fails only after a reset.
			socket.write('\r\n', err => {
				resolve(Boolean(err));
			});
		});
		socket.once('close', hadError => {
			resolve(hadError);
		});
	});
}

/** Parses the complete events of a stream. */
export function parseEvents(text: string): ReadonlyArray<{readonly id: number; readonly data: string}> {
	return text.split('\n\n').slice(0, -1).map(event => {
		const fields = new Map(event.split('\n').map(line => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon), line.slice(colon + 1).trim()] as const;
		}));
		return {id: Number(fields.get('id')), data: fields.get('data') ?? ''};
	});
}
