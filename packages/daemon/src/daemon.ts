/** Starts one daemon from its settings and stops it on request. */
import {readVersion} from './version.js';
import {createDaemonContainer, type DaemonCradle} from './container.js';
import {Endpoint} from '#endpoint';
import {Entry} from '#entry';
import {initHashing} from '#routing';
import {type Keys, type Settings} from '#settings';
import {type LogFields, type Logger} from '#telemetry';

/** Lifecycle of the role that the daemon runs. */
type RunningRole = {
	readonly drain: () => Promise<void>;
	readonly close: () => Promise<void>;
	/** Number of requests in progress. */
	readonly running: () => number;
};

/** A running daemon. */
export type Daemon = {
	/** Listening port for callers; undefined for an endpoint. */
	readonly callerPort: number | undefined;
	/** Listening port for peers. */
	readonly peerPort: number;
	/** Completes the requests in progress, then stops, once for all calls. */
	readonly stop: () => Promise<void>;
	/** Whether requests are in progress. */
	readonly isBusy: () => boolean;
	/** Describes the work that is open now, for the log. */
	readonly describeOpen: () => LogFields;
};

export type DaemonOptions = {readonly settings: Settings; readonly keys: Keys; readonly log: Logger};

/** Time to flush the last messages to peers after the role is closed, in milliseconds. */
const FLUSH_DELAY_MS = 50;

async function startRole(settings: Settings, cradle: DaemonCradle): Promise<RunningRole & {readonly callerPort: number | undefined}> {
	const peering = await cradle.peering;
	const {log, metrics, signal} = cradle;
	if (settings.role === 'entry') {
		const entry = await Entry.create({
			settings, peering, version: readVersion(), store: cradle.platform, log, metrics, signal,
		});
		return {
			drain: async () => entry.drain(), close: async () => entry.close(), running: () => entry.running, callerPort: entry.port,
		};
	}

	const endpoint = Endpoint.create({
		settings, peering, store: cradle.platform, log, metrics, signal,
	});
	return {
		drain: async () => endpoint.drain(), close: async () => endpoint.close(), running: () => endpoint.running, callerPort: undefined,
	};
}

/**
 * Starts a daemon. The port for callers opens last.
 *
 * @param signal - If it aborts before that port opens, the start ends with its reason.
 * @throws Error when it cannot listen on an address; nothing is left open then.
 */
export async function startDaemon({settings, keys, log}: DaemonOptions, signal: AbortSignal): Promise<Daemon> {
	await initHashing();
	const abortController = new AbortController();
	const container = createDaemonContainer({settings, keys, log}, abortController.signal);
	const {cradle} = container;
	const release = async () => {
		abortController.abort();
		await cradle.platform.close();
		await container.dispose();
	};

	let role: Awaited<ReturnType<typeof startRole>>;
	try {
		await cradle.platformWatch;
		signal.throwIfAborted();
		role = await startRole(settings, cradle);
	} catch (error) {
		await release();
		throw error;
	}

	const {machine} = await cradle.peering;
	log.info('started', {role: settings.role, address: machine.address, callerPort: role.callerPort});
	const stopOnce = async () => {
		await role.drain();
		await role.close();
		await new Promise(resolve => {
			setTimeout(resolve, FLUSH_DELAY_MS);
		});
		await release();
		log.info('stopped');
	};

	let stopped: Promise<void> | undefined;
	return {
		callerPort: role.callerPort,
		peerPort: Number(machine.address.split(':').at(-1)),
		async stop() {
			stopped ??= stopOnce();
			return stopped;
		},
		isBusy: () => role.running() > 0,
		describeOpen: () => ({openRequests: role.running()}),
	};
}
