/** The platform's register as an entry reads it. An adapter implements the calls; the following is done here. */
import type {EntryEventLog} from './event-log.js';
import {sleep} from '#core';
import {
	refreshAgeMs, type ConfigCache, type EndpointDirectory, type EndpointRecord, type FleetConfig, type Instant,
} from '#dispatch';

/** Answer of one call. */
export type RegistryResult<Value>
	= | {readonly kind: 'answered'; readonly value: Value}
		/** The history from the given revision is gone; list again. */
		| {readonly kind: 'expired'}
		| {readonly kind: 'unavailable'; readonly reason: string};

/** A change of one endpoint's entry. */
export type EndpointChange
	= | {readonly kind: 'put'; readonly record: EndpointRecord}
		| {readonly kind: 'removed'; readonly id: string; readonly revision: number | undefined};

export type Registry = {
	/** Reads the newest configuration; undefined if there is none. Linearizable. */
	readonly readConfig: (signal: AbortSignal) => Promise<RegistryResult<FleetConfig | undefined>>;
	/** Lists all endpoints with the register's revision. Linearizable. */
	readonly listEndpoints: (signal: AbortSignal) => Promise<RegistryResult<{readonly records: readonly EndpointRecord[]; readonly revision: number}>>;
	/** Waits up to `waitMs` for changes after a revision. */
	readonly watchEndpoints: (revision: number, waitMs: number, signal: AbortSignal) => Promise<RegistryResult<{readonly changes: readonly EndpointChange[]; readonly revision: number}>>;
};

/** What an entry believes of the fleet, and where it tells of changes. */
export type EntryState = {
	readonly config: ConfigCache;
	readonly directory: EndpointDirectory;
	readonly events: EntryEventLog;
	readonly now: () => Instant;
};

export type SyncContext = EntryState & {readonly registry: Registry};

/** Time between two reads when others know of newer versions, in ms: a series of changes, each of a megabyte at most, does not keep every entry busy. */
const MIN_READ_INTERVAL_MS = 500;

/** How often an entry looks whether its configuration is still confirmed, in ms. */
const CONFIG_AGE_CHECK_MS = 50;

/** Longest wait of one watch, in ms: a connection that went silent is noticed within this time and the timeout of a call. */
const WATCH_TIMEOUT_MS = 2000;

/** Pause after changes, in ms: what comes meanwhile comes in one answer. Short against the seconds for which an endpoint serves on after it has said that it leaves. */
const WATCH_BATCH_DELAY_MS = 200;

/** Pause after a failed call, in ms: an outage costs each entry few calls, and its end is noticed soon. */
const RETRY_DELAY_MS = 250;

/**
 * Follows the configuration until the signal aborts. Each read confirms the version as of when it was sent. While other
 * entries confirm it in time and know of nothing newer, nothing is read.
 *
 * @param asked - Counts the entries in reach that this one asks.
 */
export async function syncConfig({registry: register, config, events: journal, now}: SyncContext, asked: () => number, signal: AbortSignal): Promise<void> {
	const link = DependencyStatus.create('register-configuration', journal);
	let lastReadAt = Number.NEGATIVE_INFINITY;
	while (!signal.aborted) {
		const isNewsDue = config.isBehind && now().monotonicMs - lastReadAt >= MIN_READ_INTERVAL_MS;
		if (config.ageMs(now()) < refreshAgeMs(asked()) && !isNewsDue) {
			await sleep(CONFIG_AGE_CHECK_MS, signal);
			continue;
		}

		const sentAt = now();
		lastReadAt = sentAt.monotonicMs;
		const answer = await register.readConfig(signal);
		if (signal.aborted) {
			return;
		}

		link.update(answer);
		config.setRegistryReachable(answer.kind !== 'unavailable');
		if (answer.kind === 'answered' && answer.value !== undefined && config.update(answer.value, sentAt) === 'adopted') {
			recordConfigChange(answer.value, 'register', journal);
		}

		if (config.ageMs(now()) >= refreshAgeMs(asked())) {
			await sleep(RETRY_DELAY_MS, signal);
		}
	}
}

/** Reports a configuration that came into force. */
export function recordConfigChange(config: FleetConfig, source: string, journal: EntryEventLog): void {
	journal.record({
		kind: 'configuration', version: config.version, source, routes: config.routes.length, workspaces: config.workspaceCount,
	});
}

/** Follows the endpoints until the signal aborts: a list, then watches from its revision. */
export async function syncEndpoints({registry: register, directory, events: journal, now}: SyncContext, signal: AbortSignal): Promise<void> {
	const link = DependencyStatus.create('register-endpoints', journal);
	let revision: number | undefined;
	while (!signal.aborted) {
		if (revision === undefined) {
			const answer = await register.listEndpoints(signal);
			link.update(answer);
			noteRegistryReachability(directory, answer, now().monotonicMs);
			if (answer.kind === 'answered') {
				directory.replaceAll(answer.value.records, now().monotonicMs);
				({revision} = answer.value);
			} else {
				await sleep(RETRY_DELAY_MS, signal);
			}

			continue;
		}

		const answer = await register.watchEndpoints(revision, WATCH_TIMEOUT_MS, signal);
		link.update(answer);
		noteRegistryReachability(directory, answer, now().monotonicMs);
		if (answer.kind !== 'answered') {
			revision = undefined;
			continue;
		}

		for (const change of answer.value.changes) {
			applyChange(directory, change, now().monotonicMs);
		}

		({revision} = answer.value);
		if (answer.value.changes.length > 0) {
			await sleep(WATCH_BATCH_DELAY_MS, signal);
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

function noteRegistryReachability(directory: EndpointDirectory, answer: RegistryResult<unknown>, now: number): void {
	if (answer.kind === 'unavailable') {
		directory.noteRegistryUnreachable();
	} else {
		directory.noteRegistryReachable(now);
	}
}

/** Reports when a dependency is lost and regained, once each. */
class DependencyStatus {
	static create(name: string, journal: EntryEventLog): DependencyStatus {
		return new DependencyStatus(name, journal);
	}

	#isReachable: boolean | undefined;
	readonly #name: string;
	readonly #events: EntryEventLog;

	private constructor(name: string, journal: EntryEventLog) {
		this.#name = name;
		this.#events = journal;
	}

	update(answer: RegistryResult<unknown>): void {
		const isReachable = answer.kind !== 'unavailable';
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.#events.record({
				kind: 'dependency', dependency: this.#name, isReachable, detail: answer.kind === 'unavailable' ? answer.reason : '',
			});
		}
	}
}
