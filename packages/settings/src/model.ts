/** The settings of one `mimosamountd` process as typed values. */
import type {Secret} from './secret.js';
import type {Address} from '#core';

/** Where a key comes from. */
export type KeySource
	= | {readonly kind: 'inline'; readonly key: Secret}
		| {readonly kind: 'file'; readonly path: string};

/** Levels of bunyan, from most to least detail. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;

export type LogLevel = (typeof logLevels)[number];

/** Settings that both roles have. */
export type CommonSettings = {
	readonly id: string;
	readonly region: string;
	readonly zone: string;
	/** Where peers connect to this process. */
	readonly address: Address;
	readonly logLevel: LogLevel;
	readonly platform: {
		/** Origin without a trailing slash, for example `http://10.0.0.2:7000`. */
		readonly url: string;
		readonly key: KeySource;
	};
	readonly peers: {
		readonly sharedKey: KeySource;
		/** Peers to ask first; may be empty. */
		readonly seeds: readonly Address[];
	};
};

export type EntrySettings = CommonSettings & {
	readonly role: 'entry';
	/** Where callers connect. */
	readonly listen: Address;
	/** SHA-256 of the operators' key, 64 lower-case hex digits. */
	readonly operatorKeyHash: string;
	readonly maxBodyBytes: number;
	/** Endpoints from which this entry takes load reports. */
	readonly subsetSize: number;
};

/** The back end beside an endpoint process. */
export type Backend
	= | {
		readonly kind: 'model';
		readonly group: string;
		/** Ranks in the whole group. */
		readonly groupSize: number;
		/** Ranks of this endpoint, first and last, counted from 0. */
		readonly ranks: {readonly first: number; readonly last: number};
		readonly models: readonly string[];
		/** Interval at which the group's leader weighs a change of the expert map, seconds. */
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

/** Values of keys that may be left out. */
export const settingsDefaults = {
	logLevel: 'info',
	// A body travels in one message between processes, whose limit is 1 MiB.
	maxBodyBytes: 768 * 1024,
	// Expert popularity drifts over hours and jumps within minutes; planning 60 layers takes a process about a second.
	rebalanceSeconds: 60,
	// Reports from 48 endpoints a second cost 1.9 KB/s, which leaves room in 5 KB/s for demand, heartbeats and the directory.
	subsetSize: 48,
} as const;
