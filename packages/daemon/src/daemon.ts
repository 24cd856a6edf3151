/** Runs one daemon from its settings until it is told to stop. */
import process from 'node:process';
import {readVersion} from './version.js';
import {createDaemonContainer, type Cradle} from './container.js';
import {mergeTeardowns, type Teardown} from '#core';
import {Endpoint} from '#endpoint';
import {Entry} from '#entry';
import {initHashing} from '#routing';
import {type Keys, type Settings} from '#settings';

/** The part of a role that the daemon drives. */
type Role = {
	readonly drain: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/** A running daemon. */
export type Daemon = {
	/** Port for callers; undefined for an endpoint. */
	readonly callerPort: number | undefined;
	/** Port for peers. */
	readonly peerPort: number;
	/** Finishes the work in progress, then stops. */
	readonly stop: () => Promise<void>;
};

/** Time for the last messages to leave after the work is done, in milliseconds. */
const CLOSE_PAUSE_MS = 50;

async function startRole(settings: Settings, cradle: Cradle): Promise<Role & {readonly callerPort: number | undefined}> {
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
 * @throws Error when an address cannot be listened on.
 */
export async function startDaemon(settings: Settings, keys: Keys): Promise<Daemon> {
	await initHashing();
	const stop = new AbortController();
	const container = createDaemonContainer(settings, keys, stop.signal);
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
				setTimeout(resolve, CLOSE_PAUSE_MS);
			});
			stop.abort();
			await cradle.platform.close();
			await container.dispose();
			cradle.log.info('stopped');
		},
	};
}

/** Stops the daemon on SIGTERM or SIGINT; a second signal ends the process at once. */
export function registerSignals(daemon: Daemon): Teardown {
	let stopping = false;
	const onSignal = () => {
		if (stopping) {
			process.kill(process.pid, 'SIGKILL');
		}

		stopping = true;
		void daemon.stop();
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
	return mergeTeardowns(() => {
		process.off('SIGTERM', onSignal);
		process.off('SIGINT', onSignal);
	});
}
