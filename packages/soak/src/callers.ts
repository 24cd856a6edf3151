/** Callers of a soak: a steady mix of requests over kept connections, used until the process behind them is gone. */
import {Agent, request, type IncomingMessage} from 'node:http';
import {isServed, type Ledger} from './ledger.js';
import type {
	Attempt, AttemptOutcome, CallerKey, EntryView, RequestKind, SoakDeployment,
} from './types.js';
import {sleep} from '#core';
import type {Random} from '#standins-engine';

/** An attempt without an end so long after its deadline hangs, in ms. */
const HANG_AFTER_MS = 1500;

/** Requests of the mix, with their waits in ms. */
const MIX: ReadonlyArray<{readonly kind: RequestKind; readonly waitMs: number}> = [
	{kind: 'idempotent', waitMs: 1500},
	{kind: 'at-most-once', waitMs: 1500},
	{kind: 'at-most-once', waitMs: 800},
	{kind: 'stream', waitMs: 4000},
];

/** Share of requests with any key, also one that was taken away. */
const ANY_KEY_SHARE = 0.1;

/** Events of a stream, at most. */
const MOST_EVENTS = 40;

export type CallerParts = {
	readonly deployment: SoakDeployment;
	readonly ledger: Ledger;
	readonly random: Random;
	/** Time between two requests of all callers, in ms. */
	readonly everyMs: number;
};

export class Callers {
	static create(parts: CallerParts): Callers {
		return new Callers(parts);
	}

	readonly #agents = new Map<string, Agent>();
	readonly #open = new Set<Promise<boolean>>();
	#count = 0;
	readonly #parts: CallerParts;

	private constructor(parts: CallerParts) {
		this.#parts = parts;
	}

	/** Sends requests until the signal aborts; returns once the last has ended. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			const entries = this.#parts.deployment.entries();
			const turn = this.#serve(entries[this.#parts.random.int(0, entries.length - 1)]!, this.#keyOfLoad());
			this.#open.add(turn);
			void turn.then(() => this.#open.delete(turn));
			await sleep(this.#parts.everyMs, signal);
		}

		await Promise.all(this.#open);
	}

	/** Sends one request to each entry `rounds` times; returns how many were not served. */
	async probe(rounds: number): Promise<number> {
		let missed = 0;
		for (let round = 0; round < rounds; round += 1) {
			const served = await Promise.all(this.#parts.deployment.entries().map(async entry => this.#serve(entry, this.#liveKey())));
			missed += served.filter(isGood => !isGood).length;
		}

		return missed;
	}

	close(): void {
		for (const agent of this.#agents.values()) {
			agent.destroy();
		}
	}

	async #serve(entry: EntryView, key: CallerKey): Promise<boolean> {
		const {ledger, random} = this.#parts;
		this.#count += 1;
		const {kind, waitMs} = MIX[random.int(0, MIX.length - 1)]!;
		const attempt: Attempt = {
			id: `r${this.#count}`, kind, entry: entry.name, key, waitMs, events: random.int(1, MOST_EVENTS), sentAt: performance.now(),
		};
		ledger.sent(attempt);
		const outcome = await this.#call(entry, attempt);
		// A process that stands still or ends answers nobody in time; that is the fault's doing.
		const isExcused = outcome.kind === 'hung' && entry.disturbedAt() >= attempt.sentAt;
		ledger.ended(attempt.id, isExcused ? {kind: 'closed', reason: 'entry disturbed'} : outcome);
		return isServed(outcome);
	}

	#liveKey(): CallerKey {
		const live = this.#parts.deployment.keys().filter(({revokedAt}) => revokedAt === undefined);
		return live[this.#parts.random.int(0, live.length - 1)]!;
	}

	/** A key, now and then one that was taken away. */
	#keyOfLoad(): CallerKey {
		const keys = this.#parts.deployment.keys();
		return this.#parts.random.next() < ANY_KEY_SHARE ? keys[this.#parts.random.int(0, keys.length - 1)]! : this.#liveKey();
	}

	async #call(entry: EntryView, attempt: Attempt): Promise<AttemptOutcome> {
		const {deployment} = this.#parts;
		const {method, path, headers, body} = deployment.encode(attempt);
		return new Promise(resolve => {
			const req = request({
				host: entry.host, port: entry.port, method, path, headers, agent: this.#agentOf(entry),
			}, res => {
				void readOutcome(res, attempt, deployment.isSigned(res.headers)).then(finish);
			});
			const finish = (outcome: AttemptOutcome) => {
				clearTimeout(timer);
				resolve(outcome);
			};

			const timer = setTimeout(() => {
				finish({kind: 'hung'});
				req.destroy();
			}, attempt.waitMs + HANG_AFTER_MS);
			req.on('error', err => {
				finish({kind: 'closed', reason: err.message});
			});
			req.end(body);
		});
	}

	#agentOf({name}: EntryView): Agent {
		let agent = this.#agents.get(name);
		if (agent === undefined) {
			agent = new Agent({keepAlive: true});
			this.#agents.set(name, agent);
		}

		return agent;
	}
}

async function readOutcome(res: IncomingMessage, {kind}: Attempt, isSigned: boolean): Promise<AttemptOutcome> {
	const chunks: string[] = [];
	res.setEncoding('utf8').on('data', (text: string) => {
		chunks.push(text);
	});
	return new Promise(resolve => {
		const finish = () => {
			const body = chunks.join('');
			if (kind === 'stream' && res.statusCode === 200) {
				resolve({kind: 'stream', events: readEvents(body), isComplete: res.complete});
			} else {
				resolve(res.complete
					? {
						kind: 'answer', status: res.statusCode!, body, isSigned,
					}
					: {kind: 'closed', reason: 'answer broke off'});
			}
		};

		res.on('error', () => undefined);
		res.once('close', finish);
	});
}

/** The whole events of a stream. */
export function readEvents(text: string): ReadonlyArray<{readonly id: number; readonly data: string}> {
	return text.split('\n\n').slice(0, -1).map(event => {
		const fields = new Map(event.split('\n').map(line => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon), line.slice(colon + 1).trim()] as const;
		}));
		return {id: Number(fields.get('id')), data: fields.get('data') ?? ''};
	});
}
