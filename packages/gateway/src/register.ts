/** The platform's register as an entry reads it. An adapter implements the calls; the following is done here. */
import type {EntryJournal} from './events.js';
import {sleep} from '#core';
import {
	readAtAgeMs, type ConfigHolder, type EndpointDirectory, type EndpointRecord, type FleetConfig, type Instant,
} from '#dispatch';

/** Answer of one call. */
export type RegisterAnswer<Value>
	= | {readonly kind: 'answered'; readonly value: Value}
		/** The history from the given revision is gone; list again. */
		| {readonly kind: 'expired'}
		| {readonly kind: 'unavailable'; readonly reason: string};

/** A change of one endpoint's entry. */
export type EndpointChange
	= | {readonly kind: 'put'; readonly record: EndpointRecord}
		| {readonly kind: 'removed'; readonly id: string; readonly revision: number | undefined};

export type Register = {
	/** Reads the newest configuration; undefined if there is none. Linearizable. */
	readonly readConfig: (signal: AbortSignal) => Promise<RegisterAnswer<FleetConfig | undefined>>;
	/** Lists all endpoints with the register's revision. Linearizable. */
	readonly listEndpoints: (signal: AbortSignal) => Promise<RegisterAnswer<{readonly records: readonly EndpointRecord[]; readonly revision: number}>>;
	/** Waits up to `waitMs` for changes after a revision. */
	readonly watchEndpoints: (revision: number, waitMs: number, signal: AbortSignal) => Promise<RegisterAnswer<{readonly changes: readonly EndpointChange[]; readonly revision: number}>>;
};

/** What an entry believes of the fleet, and where it tells of changes. */
export type Beliefs = {
	readonly config: ConfigHolder;
	readonly directory: EndpointDirectory;
	readonly journal: EntryJournal;
	readonly now: () => Instant;
};

export type FollowParts = Beliefs & {readonly register: Register};

/** Time between two reads when others know of newer versions, in ms: a series of changes, each of a megabyte at most, does not keep every entry busy. */
const NEWS_INTERVAL_MS = 500;

/** How often an entry looks whether its configuration is still confirmed, in ms. */
const CONFIRMED_POLL_MS = 50;

/** Longest wait of one watch, in ms: a connection that went silent is noticed within this time and the timeout of a call. */
const WATCH_WAIT_MS = 2000;

/** Pause after changes, in ms: what comes meanwhile comes in one answer. Short against the seconds for which an endpoint serves on after it has said that it leaves. */
const WATCH_PAUSE_MS = 200;

/** Pause after a failed call, in ms: an outage costs each entry few calls, and its end is noticed soon. */
const FAILURE_PAUSE_MS = 250;

/**
 * Follows the configuration until the signal aborts. Each read confirms the version as of when it was sent. While other
 * entries confirm it in time and know of nothing newer, nothing is read.
 *
 * @param asked - Counts the entries in reach that this one asks.
 */
export async function followConfig({register, config, journal, now}: FollowParts, asked: () => number, signal: AbortSignal): Promise<void> {
	const link = LinkState.create('register-configuration', journal);
	let lastReadAt = Number.NEGATIVE_INFINITY;
	while (!signal.aborted) {
		const isNewsDue = config.isBehind && now().steadyMs - lastReadAt >= NEWS_INTERVAL_MS;
		if (config.ageMs(now()) < readAtAgeMs(asked()) && !isNewsDue) {
			await sleep(CONFIRMED_POLL_MS, signal);
			continue;
		}

		const sentAt = now();
		lastReadAt = sentAt.steadyMs;
		const answer = await register.readConfig(signal);
		if (signal.aborted) {
			return;
		}

		link.note(answer);
		config.noteReach(answer.kind !== 'unavailable');
		if (answer.kind === 'answered' && answer.value !== undefined && config.offer(answer.value, sentAt) === 'adopted') {
			tellAdopted(answer.value, 'register', journal);
		}

		if (config.ageMs(now()) >= readAtAgeMs(asked())) {
			await sleep(FAILURE_PAUSE_MS, signal);
		}
	}
}

/** Reports a configuration that came into force. */
export function tellAdopted(config: FleetConfig, source: string, journal: EntryJournal): void {
	journal.record({
		kind: 'configuration', version: config.version, source, routes: config.routes.length, workspaces: config.workspaceCount,
	});
}

/** Follows the endpoints until the signal aborts: a list, then watches from its revision. */
export async function followEndpoints({register, directory, journal, now}: FollowParts, signal: AbortSignal): Promise<void> {
	const link = LinkState.create('register-endpoints', journal);
	let revision: number | undefined;
	while (!signal.aborted) {
		if (revision === undefined) {
			const answer = await register.listEndpoints(signal);
			link.note(answer);
			noteReach(directory, answer, now().steadyMs);
			if (answer.kind === 'answered') {
				directory.replaceAll(answer.value.records, now().steadyMs);
				({revision} = answer.value);
			} else {
				await sleep(FAILURE_PAUSE_MS, signal);
			}

			continue;
		}

		const answer = await register.watchEndpoints(revision, WATCH_WAIT_MS, signal);
		link.note(answer);
		noteReach(directory, answer, now().steadyMs);
		if (answer.kind !== 'answered') {
			revision = undefined;
			continue;
		}

		for (const change of answer.value.changes) {
			applyChange(directory, change, now().steadyMs);
		}

		({revision} = answer.value);
		if (answer.value.changes.length > 0) {
			await sleep(WATCH_PAUSE_MS, signal);
		}
	}
}

function applyChange(directory: EndpointDirectory, change: EndpointChange, now: number): void {
	if (change.kind === 'put') {
		directory.put(change.record);
	} else {
		directory.remove(change.id, change.revision, now);
	}
}

function noteReach(directory: EndpointDirectory, answer: RegisterAnswer<unknown>, now: number): void {
	if (answer.kind === 'unavailable') {
		directory.noteOutOfReach();
	} else {
		directory.noteInReach(now);
	}
}

/** Reports when a dependency is lost and regained, once each. */
class LinkState {
	static create(name: string, journal: EntryJournal): LinkState {
		return new LinkState(name, journal);
	}

	#isReachable: boolean | undefined;
	readonly #name: string;
	readonly #journal: EntryJournal;

	private constructor(name: string, journal: EntryJournal) {
		this.#name = name;
		this.#journal = journal;
	}

	note(answer: RegisterAnswer<unknown>): void {
		const isReachable = answer.kind !== 'unavailable';
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.#journal.record({
				kind: 'dependency', dependency: this.#name, isReachable, detail: answer.kind === 'unavailable' ? answer.reason : '',
			});
		}
	}
}
