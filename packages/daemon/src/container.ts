/**
 * Wiring of one daemon by awilix: each part is a registration that is built when another
 * part asks for it.
 */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {
	asFunction, asValue, createContainer, InjectionMode, type AwilixContainer,
} from 'awilix';
import {InputError} from '#core';
import {type Machine} from '#membership';
import {Peering, PlatformWatch} from '#peering';
import {PlatformClient} from '#platform';
import {
	Secret, type Address, type KeySource, type Settings,
} from '#settings';
import {createLogger, Metrics, type Logger} from '#telemetry';

/** Parts of a daemon by name. */
export type Cradle = {
	readonly settings: Settings;
	readonly signal: AbortSignal;
	readonly log: Logger;
	readonly metrics: Metrics;
	readonly platform: PlatformClient;
	readonly incarnation: string;
	readonly machine: Machine;
	readonly peering: Promise<Peering>;
	readonly platformWatch: Promise<PlatformWatch>;
};

/** Writes an address as `IP:port`, IPv6 in brackets. */
export function formatAddress({host, port}: Address): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/**
 * Reads a key from the settings or from the file that they name.
 *
 * @throws InputError when the file cannot be read or is empty.
 */
export function readKey(source: KeySource): Secret {
	if (source.kind === 'inline') {
		return source.key;
	}

	let text: string;
	try {
		text = readFileSync(source.path, 'utf8').trim();
	} catch (error) {
		throw new InputError(`key file ${source.path}: ${error instanceof Error ? error.message : 'not readable'}`);
	}

	if (text === '') {
		throw new InputError(`key file ${source.path} is empty`);
	}

	return Secret.create(text);
}

/** The machine that the settings describe. */
export function describeMachine(settings: Settings): Machine {
	const base = {
		id: settings.id, address: formatAddress(settings.address), zone: settings.zone, region: settings.region, state: 'live',
	} as const;
	if (settings.role === 'entry') {
		return {...base, role: 'entry', kind: 'entry'};
	}

	const {backend} = settings;
	if (backend.kind === 'service') {
		return {
			...base, role: 'endpoint', kind: 'service', service: backend.service,
		};
	}

	const {first, last} = backend.ranks;
	const ranks = Array.from({length: last - first + 1}, (_, i) => first + i);
	return {
		...base, role: 'endpoint', kind: 'model', group: backend.group, ranks, models: [...backend.models],
	};
}

/** Builds the container of one daemon. */
export function createDaemonContainer(settings: Settings, signal: AbortSignal): AwilixContainer<Cradle> {
	const container = createContainer<Cradle>({injectionMode: InjectionMode.PROXY, strict: true});
	container.register({
		settings: asValue(settings),
		signal: asValue(signal),
		incarnation: asValue(randomUUID()),
		log: asFunction(() => createLogger(settings.id, settings.logLevel)).singleton(),
		metrics: asFunction(() => Metrics.create()).singleton(),
		machine: asFunction(() => describeMachine(settings)).singleton(),
		platform: asFunction(() => PlatformClient.create({url: settings.platform.url, key: readKey(settings.platform.key).reveal()})).singleton(),
		peering: asFunction(async ({machine, incarnation, log, metrics}: Cradle) => Peering.create({
			machine,
			incarnation,
			listen: settings.address,
			sharedKey: readKey(settings.peers.sharedKey).reveal(),
			seeds: settings.peers.seeds.map(seed => formatAddress(seed)),
			log,
			metrics,
			signal,
		})).singleton(),
		platformWatch: asFunction(async ({peering, platform, log}: Cradle) => PlatformWatch.create({
			peering: await peering, platform, log, signal,
		})).singleton(),
	});
	return container;
}
