/** Starts one daemon from its settings and stops it on request or on a signal. */
import process from 'node:process';
import {readVersion} from './version.js';
import {createDaemonContainer, type DaemonCradle} from './container.js';
import {mergeTeardowns, type Teardown} from '#core';
import {Endpoint} from '#endpoint';
import {Entry} from '#entry';
import {initHashing} from '#routing';
import {type Keys, type Settings} from '#settings';

/** Lifecycle of the role that the daemon runs. */
type RunningRole = {
	readonly drain: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** A running daemon. */
export type Daemon = {
	/** Listening port for callers; undefined for an endpoint. */
	readonly callerPort: number | undefined;
	/** Listening port for peers. */
	readonly peerPort: number;
	/** Completes the requests in progress, then stops. */
	readonly stop: () => Promise<void>;
};

/** Time to flush the last messages to peers after the role is closed, in milliseconds. */
const FLUSH_DELAY_MS = 50;

async function startRole(settings: Settings, cradle: DaemonCradle): Promise<RunningRole & {readonly callerPort: number | undefined}> {
	const peering = await cradle.peering;
	const {log, metrics, signal} = cradle;
	if (settings.role === 'entry') {
		const entry = await Entry.create({
			settings, peering, version: readVersion(), store: cradle.platform, log, metrics, signal,
		});
		return {drain: async () => entry.drain(), close: async () => entry.close(), callerPort: entry.port};
	}

	const endpoint = Endpoint.create({
		settings, peering, store: cradle.platform, log, metrics, signal,
	});
	return {drain: async () => endpoint.drain(), close: async () => endpoint.close(), callerPort: undefined};
}

/**
 * Starts a daemon.
 *
 * @throws Error when it cannot listen on an address.
 */
export async function startDaemon(settings: Settings, keys: Keys): Promise<Daemon> {
	await initHashing();
	const abortController = new AbortController();
	const container = createDaemonContainer(settings, keys, abortController.signal);
	const {cradle} = container;
	const role = await startRole(settings, cradle);
	await cradle.platformWatch;
	const peering = await cradle.peering;
	cradle.log.info('started', {role: settings.role, address: peering.machine.address, callerPort: role.callerPort});
	return {
		callerPort: role.callerPort,
		peerPort: Number(peering.machine.address.split(':').at(-1)),
		async stop() {
			await role.drain();
			await role.close();
			await new Promise(resolve => {
				setTimeout(resolve, FLUSH_DELAY_MS);
			});
			abortController.abort();
			await cradle.platform.close();
			await container.dispose();
			cradle.log.info('stopped');
		},
	};
}

/** Stops the daemon on SIGTERM or SIGINT; a second signal kills the process immediately. */
export function registerSignals(daemon: Daemon): Teardown {
	let isStopping = false;
	const onSignal = () => {
		if (isStopping) {
			process.kill(process.pid, 'SIGKILL');
		}

		isStopping = true;
		void daemon.stop();
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
	return mergeTeardowns(() => {
		process.off('SIGTERM', onSignal);
		process.off('SIGINT', onSignal);
	});
}
