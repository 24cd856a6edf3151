/** Typed model of the settings of a `mimosamountd` process. */
import type {Secret} from './secret.js';
import type {Address} from '#core';

/** Source of a key. */
export type KeySource
	= | {readonly kind: 'inline'; readonly key: Secret}
		| {readonly kind: 'file'; readonly path: string};

/** Log levels of bunyan, from most to least verbose. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

export type LogLevel = (typeof logLevels)[number];

/** Settings common to both roles. */
export type CommonSettings = {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	/** Address at which peers connect to this process. */
	readonly address: Address;
	readonly logLevel: LogLevel;
	/** Memory that this process may use, in MB. */
	readonly memoryMb: number;
	/** Descriptors that this process may open. */
	readonly maxOpenFiles: number;
	readonly platform: {
		/** Origin without a trailing slash, for example `http://10.0.0.2:7000`. */
		readonly url: string;
		readonly key: KeySource;
	};
	readonly peers: {
		readonly sharedKey: KeySource;
		/** Addresses of the peers to contact first; may be empty. */
		readonly seeds: readonly Address[];
	};
};

export type EntrySettings = CommonSettings & {
	readonly role: 'entry';
	/** Address at which callers connect. */
	readonly listen: Address;
	/** SHA-256 of the operator key, 64 lower-case hex digits. */
	readonly operatorKeyHash: string;
	readonly maxBodyBytes: number;
	/** Number of endpoints from which this entry receives load reports. */
	readonly subsetSize: number;
};

/** Back end of an endpoint process. */
export type Backend
	= | {
		readonly kind: 'model';
		readonly group: string;
		/** Total number of ranks in the group. */
		readonly groupSize: number;
		/** Ranks of this endpoint, first and last, counted from 0. */
		readonly ranks: {readonly first: number; readonly last: number};
		readonly models: readonly string[];
		/** Interval in seconds at which the group's leader evaluates a change of the expert map. */
		readonly rebalanceSeconds: number;
	}
	| {readonly kind: 'service'; readonly service: string};

export type EndpointSettings = CommonSettings & {
	readonly role: 'endpoint';
	/** Origin of the engine or service, without a trailing slash. */
	readonly backendUrl: string;
	readonly backend: Backend;
};

export type Settings = EntrySettings | EndpointSettings;

/** Defaults of optional keys. */
export const settingsDefaults = {
	logLevel: 'info',
	// Holds the prompts of 700 open streams of 300 KB each.
	memoryMb: 1024,
	maxOpenFiles: 4096,
	// A body is sent between processes in a single message, whose limit is 1 MiB.
	maxBodyBytes: 768 * 1024,
	// Expert popularity drifts over hours and jumps within minutes; planning 60 layers takes about one second of processor time.
	rebalanceSeconds: 60,
	// Reports from 48 endpoints per second take 1.9 KB/s, which leaves room in 5 KB/s for demand, heartbeats and the directory.
	subsetSize: 48,
} as const;
