/** The platform's registry as read by an entry. An adapter implements the calls; the synchronization is implemented here. */
import type {EntryEventLog} from './event-log.js';
import type {EvacuationGuard} from './evacuation-guard.js';
import {guardCallback, sleep} from '#core';
import {
	refreshAgeMs, type ConfigCache, type EndpointDirectory, type EndpointRecord, type FleetConfig, type Instant,
} from '#dispatch';

/** Result of one call. */
export type RegistryResult<Value>
	/** `era` rises when the registry returns from an old copy; absent if it never does. */
	= | {readonly kind: 'answered'; readonly value: Value; readonly era?: number}
		/** The history from the given revision is no longer available; list again. */
		| {readonly kind: 'expired'}
		| {readonly kind: 'unavailable'; readonly reason: string};

/** A change of one registration. */
export type EndpointChange
	= | {readonly kind: 'put'; readonly record: EndpointRecord}
		| {readonly kind: 'removed'; readonly id: string; readonly revision: number | undefined};

export type Registry = {
	/** Reads the newest configuration; undefined if there is none. Linearizable. */
	readonly readConfig: (signal: AbortSignal) => Promise<RegistryResult<FleetConfig | undefined>>;
	/** Lists all endpoints with a revision from which a watch misses none of their changes. Linearizable. */
	readonly listEndpoints: (signal: AbortSignal) => Promise<RegistryResult<{readonly records: readonly EndpointRecord[]; readonly revision: number}>>;
	/** Lists the evacuated zones with the revision that the list shows at least. Linearizable. */
	readonly listEvacuations: (signal: AbortSignal) => Promise<RegistryResult<{readonly zones: readonly string[]; readonly revision: number}>>;
	/** Waits up to `waitMs` for changes after a revision. */
	readonly watchEndpoints: (revision: number, waitMs: number, signal: AbortSignal) => Promise<RegistryResult<{readonly changes: readonly EndpointChange[]; readonly revision: number}>>;
};

/** The state that an entry keeps of the fleet, and the log for its changes. */
export type EntryState = {
	readonly config: ConfigCache;
	readonly directory: EndpointDirectory;
	readonly events: EntryEventLog;
	readonly now: () => Instant;
};

export type SyncContext = EntryState & {
	readonly registry: Registry;
	/** Settles when the entries that this one knows at its start have been asked for what they know. */
	readonly peersAsked: Promise<void>;
};

/** Longest wait for other entries before the first configuration from a registry with eras counts, in ms: the timeout of a poll. */
const PEERS_ASKED_TIMEOUT_MS = 400;

/** How an entry exchanges its state with others. */
export type PeerSchedule = {
	/** Number of reachable entries that this one polls regularly. */
	readonly polledPeers: number;
	/** Interval at which it does, in ms. */
	readonly exchangeMs: number;
};

export type EvacuationSyncContext = Pick<SyncContext, 'registry' | 'directory' | 'events' | 'now'> & {readonly evacuations: EvacuationGuard};

/** Shortest time between two reads while peers have a newer version, in ms: a series of changes of up to a megabyte each must not keep all entries busy. */
const MIN_READ_INTERVAL_MS = 500;

/** Interval at which an entry checks whether what it shares with its peers is still confirmed, in ms. */
const AGE_CHECK_MS = 50;

/** Interval at which it is noted that the process runs, in ms; several times within the time from which it counts as paused. */
const TICK_MS = 100;

/** Longest wait of one watch, in ms: a connection that stopped responding is detected within this time plus the timeout of a call. */
const WATCH_TIMEOUT_MS = 2000;

/** Delay after changes, in ms, so that further changes arrive in one batch. Short compared with the seconds for which an endpoint continues to serve after announcing that it leaves. */
const WATCH_BATCH_DELAY_MS = 200;

/** Delay after a failed call, in ms: an outage costs few calls per entry, and its end is detected quickly. */
const RETRY_DELAY_MS = 250;

/** State that entries share, so that of many entries only one reads it from the registry while the others confirm it to each other. */
type SharedState = {
	/** Time since the state was last known to be current, in ms. */
	readonly ageMs: () => number;
	/** Age from which this entry reads the registry itself, in ms. */
	readonly refreshAgeMs: () => number;
	/** Whether a newer state is known to exist. */
	readonly isBehind: () => boolean;
	/** Reads the registry once. Returns whether the next read may follow without a delay, also if this one renewed nothing. */
	readonly read: (sentAt: Instant) => Promise<boolean>;
};

/** Keeps shared state current until the signal aborts. Nothing is read while other entries confirm it in time and have no newer one. */
async function syncShared({ageMs, refreshAgeMs, isBehind, read}: SharedState, now: () => Instant, signal: AbortSignal): Promise<void> {
	let lastReadAt = Number.NEGATIVE_INFINITY;
	while (!signal.aborted) {
		const isReadDue = isBehind() && now().monotonicMs - lastReadAt >= MIN_READ_INTERVAL_MS;
		if (ageMs() < refreshAgeMs() && !isReadDue) {
			await sleep(AGE_CHECK_MS, signal);
			continue;
		}

		const sentAt = now();
		lastReadAt = sentAt.monotonicMs;
		const mayFollow = await read(sentAt);
		if (!mayFollow && ageMs() >= refreshAgeMs()) {
			await sleep(RETRY_DELAY_MS, signal);
		}
	}
}

/**
 * Keeps the configuration current until the signal aborts. Each read confirms the version as of the time at which it was sent.
 *
 * @param polledPeers - Returns the number of reachable entries that this one polls regularly.
 */
export async function syncConfig({registry, config, directory, events, now, peersAsked}: SyncContext, polledPeers: () => number, signal: AbortSignal): Promise<void> {
	const status = DependencyStatus.create('register-configuration', events);
	let hasAskedPeers = false;
	const read = async (sentAt: Instant) => {
		const knownVersion = config.highestKnownVersion;
		const result = refuseEarlierEra(await registry.readConfig(signal), directory);
		if (signal.aborted) {
			return false;
		}

		status.update(result);
		config.setRegistryReachable(result.kind !== 'unavailable');
		if (result.kind === 'answered' && result.era !== undefined) {
			if (!hasAskedPeers) {
				// The first read may be of an old copy, with keys that another entry knows to be revoked.
				await Promise.race([peersAsked, sleep(PEERS_ASKED_TIMEOUT_MS, signal)]);
				hasAskedPeers = true;
			}

			config.noteRegistryRead(result.value?.version ?? 0, knownVersion);
		}

		if (result.kind === 'answered' && result.value !== undefined && config.update(result.value, sentAt) === 'adopted') {
			recordConfigChange(result.value, 'register', events);
		}

		return false;
	};

	await syncShared({
		ageMs: () => config.ageMs(now()), refreshAgeMs: () => refreshAgeMs(polledPeers()), isBehind: () => config.isBehind, read,
	}, now, signal);
}

/**
 * Keeps the evacuated zones current until the signal aborts. Each reading counts from the time at which it was asked for.
 *
 * @param peers - Returns how this entry exchanges its state now.
 */
export async function syncEvacuations({registry, directory, evacuations, events, now}: EvacuationSyncContext, peers: () => PeerSchedule, signal: AbortSignal): Promise<void> {
	const {state} = evacuations;
	const refreshAgeMs = () => {
		const {polledPeers, exchangeMs} = peers();
		return state.refreshAgeMs(polledPeers, exchangeMs);
	};

	const status = DependencyStatus.create('register-evacuations', events);
	const read = async (sentAt: Instant) => {
		state.beginRead(sentAt);
		const result = refuseEarlierEra(await registry.listEvacuations(signal), directory);
		if (signal.aborted) {
			return false;
		}

		status.update(result);
		// An answer with an era or a revision from before the known one renews nothing, like none.
		const isRenewed = result.kind === 'answered' && evacuations.merge({...result.value, era: result.era, asOf: sentAt}, 'register');
		return !isRenewed && !state.failRead(sentAt, now());
	};

	const tick = guardCallback(() => {
		evacuations.tick();
	}, events.errorListener('evacuations'));
	tick();
	// The timer of a call that does not end must not keep a stopping process.
	const timer = setInterval(tick, TICK_MS).unref();
	try {
		await syncShared({
			ageMs: () => state.ageMs(now()), refreshAgeMs, isBehind: () => false, read,
		}, now, signal);
	} finally {
		clearInterval(timer);
	}
}

/** Records a configuration that took effect. */
export function recordConfigChange(config: FleetConfig, source: string, events: EntryEventLog): void {
	events.record({
		kind: 'configuration', version: config.version, source, routes: config.routes.length, workspaces: config.workspaceCount,
	});
}

/** Keeps the endpoints current until the signal aborts: lists them, then watches from the revision of the list. */
export async function syncEndpoints({registry, directory, events, now}: Omit<SyncContext, 'peersAsked'>, signal: AbortSignal): Promise<void> {
	const status = DependencyStatus.create('register-endpoints', events);
	let revision: number | undefined;
	let era: number | undefined;
	while (!signal.aborted) {
		if (revision === undefined) {
			const result = refuseEarlierEra(await registry.listEndpoints(signal), directory);
			status.update(result);
			noteRegistryReachability(directory, result, now().monotonicMs);
			if (result.kind === 'answered') {
				enterEra(result.era, {directory, events, now});
				directory.replaceAll(result.value.records, now().monotonicMs, result.value.revision);
				({revision} = result.value);
				({era} = result);
			} else {
				await sleep(RETRY_DELAY_MS, signal);
			}

			continue;
		}

		const result = refuseEarlierEra(await registry.watchEndpoints(revision, WATCH_TIMEOUT_MS, signal), directory);
		status.update(result);
		noteRegistryReachability(directory, result, now().monotonicMs);
		// Revisions of another era say nothing of the changes since the list.
		if (result.kind !== 'answered' || result.era !== era) {
			revision = undefined;
			continue;
		}

		for (const change of result.value.changes) {
			applyChange(directory, change, now().monotonicMs);
		}

		({revision} = result.value);
		if (result.value.changes.length > 0) {
			await sleep(WATCH_BATCH_DELAY_MS, signal);
		}
	}
}

/** Treats an answer of an earlier era than that of the endpoints, which may come from another entry, as no answer. */
function refuseEarlierEra<Value>(result: RegistryResult<Value>, {era}: EndpointDirectory): RegistryResult<Value> {
	return result.kind === 'answered' && era !== undefined && (result.era ?? 0) < era
		? {kind: 'unavailable', reason: `answer of era ${result.era ?? 'none'}, after era ${era}`}
		: result;
}

/** Records the era of a listing before it is applied. */
export function enterEra(era: number | undefined, {directory, events, now}: Pick<EntryState, 'directory' | 'events' | 'now'>): void {
	if (era !== undefined && directory.enterEra(era, now().monotonicMs)) {
		events.record({kind: 'registry-era', era});
	}
}

function applyChange(directory: EndpointDirectory, change: EndpointChange, now: number): void {
	if (change.kind === 'put') {
		directory.put(change.record);
	} else {
		directory.remove(change.id, change.revision, now);
	}
}

function noteRegistryReachability(directory: EndpointDirectory, result: RegistryResult<unknown>, now: number): void {
	if (result.kind === 'unavailable') {
		directory.noteRegistryUnreachable();
	} else {
		directory.noteRegistryReachable(now);
	}
}

/** Records when a dependency becomes unreachable or reachable, once for each change. */
class DependencyStatus {
	static create(name: string, events: EntryEventLog): DependencyStatus {
		return new DependencyStatus(name, events);
	}

	#isReachable: boolean | undefined;
	readonly #name: string;
	readonly #events: EntryEventLog;

	private constructor(name: string, events: EntryEventLog) {
		this.#name = name;
		this.#events = events;
	}

	update(result: RegistryResult<unknown>): void {
		const isReachable = result.kind !== 'unavailable';
		if (isReachable !== this.#isReachable) {
			this.#isReachable = isReachable;
			this.#events.record({
				kind: 'dependency', dependency: this.#name, isReachable, detail: result.kind === 'unavailable' ? result.reason : '',
			});
		}
	}
}
