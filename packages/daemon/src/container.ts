/** Dependency injection container of one daemon. Each component is created when it is first resolved. */
import {randomUUID} from 'node:crypto';
import {
	asFunction, asValue, createContainer, InjectionMode, type AwilixContainer,
} from 'awilix';
import {type Machine} from '#membership';
import {Peering, PlatformWatch} from '#peering';
import {PlatformClient} from '#object-api';
import {formatAddress, type Keys, type Settings} from '#settings';
import {Metrics, type Logger} from '#telemetry';

/** Components of a daemon by registration name. */
export type DaemonCradle = {
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

/** Creates the membership record of the machine that the settings describe. */
export function createMachine(settings: Settings): Machine {
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

/** Creates the container of one daemon. */
export function createDaemonContainer({settings, keys, log}: {readonly settings: Settings; readonly keys: Keys; readonly log: Logger}, signal: AbortSignal): AwilixContainer<DaemonCradle> {
	const container = createContainer<DaemonCradle>({injectionMode: InjectionMode.PROXY, strict: true});
	container.register({
		settings: asValue(settings),
		signal: asValue(signal),
		incarnation: asValue(randomUUID()),
		log: asValue(log),
		metrics: asFunction(() => Metrics.create()).singleton(),
		machine: asFunction(() => createMachine(settings)).singleton(),
		platform: asFunction(() => PlatformClient.create({url: settings.platform.url, key: keys.platformKey.reveal()})).singleton(),
		peering: asFunction(async ({machine, incarnation, log, metrics}: DaemonCradle) => Peering.create({
			machine,
			incarnation,
			listen: settings.address,
			sharedKey: keys.sharedKey.reveal(),
			seeds: settings.peers.seeds.map(seed => formatAddress(seed)),
			log,
			metrics,
			signal,
		})).singleton(),
		platformWatch: asFunction(async ({peering, platform, log}: DaemonCradle) => PlatformWatch.create({
			peering: await peering, platform, log, signal,
		})).singleton(),
	});
	return container;
}
