import {Buffer} from 'node:buffer';
import {parse} from 'ini';
import {
	logLevels, settingsDefaults, type Backend, type Settings,
} from './model.js';
import {scanIni, type KnownKeys, type Problem} from './scan.js';
import {SectionReader} from './section-reader.js';
import {
	readAddress, readHash, readInlineKey, readInteger, readKeyPath, readList, readModelName, readName, readOneOf, readOrigin,
	readPeerAddress, readRanks, type ValueReader,
} from './values.js';
import {
	failed, invariant, InvariantError, ok, type Finding, type Result,
} from '#core';

/** Maximum size of a settings file in bytes; a complete file has less than 2 KB. */
export const maxSettingsBytes = 65_536;

const MIN_MEMORY_MB = 200;
const MAX_MEMORY_MB = 1024 * 1024;
const MIN_OPEN_FILES = 256;
const MAX_OPEN_FILES = 1024 * 1024;
const MIN_BODY_BYTES = 1024;
const MAX_BODY_BYTES = 768 * 1024;
const MAX_SUBSET_SIZE = 2000;
const MAX_GROUP_SIZE = 4096;

const MAX_REBALANCE_SECONDS = 3600;

const modelKeys = ['group', 'group-size', 'ranks', 'models', 'rebalance-seconds'] as const;

const knownKeys: KnownKeys = {
	daemon: ['role', 'id', 'region', 'zone', 'address', 'log-level', 'memory-mb', 'max-open-files'],
	entry: ['listen', 'operator-key-sha256', 'max-body-bytes', 'subset-size'],
	endpoint: ['kind', 'backend-url', ...modelKeys, 'service'],
	platform: ['url', 'key-file', 'key'],
	peers: ['shared-key', 'shared-key-file', 'seeds'],
};

/** Creates the reader of a section. */
type SectionReaderFactory = (name: string) => SectionReader;

/**
 * Reads the settings of a process.
 *
 * @param text - Content of the INI file.
 * @param file - File name used in the findings.
 * @returns The settings, or all findings ordered by line and column. No finding contains a key.
 */
export function readSettings(text: string, file: string): Result<Settings, readonly Finding[]> {
	const bytes = Buffer.byteLength(text);
	if (bytes > maxSettingsBytes) {
		return failed([{
			file, line: 1, column: 1, read: `${bytes} bytes`, allowed: `a file of at most ${maxSettingsBytes} bytes`,
		}]);
	}

	const iniScan = scanIni(text, knownKeys);
	const problems: Problem[] = [...iniScan.problems];
	const values = parse(text) as Readonly<Record<string, Readonly<Record<string, unknown>>>>;
	const buildSettings = readSections(name => SectionReader.create(name, iniScan, values[name] ?? {}, problems));
	return problems.length === 0
		? ok(buildSettings())
		: failed(problems.map(problem => ({file, ...problem})).toSorted((a, b) => a.line - b.line || a.column - b.column));
}

/** Reads all sections and returns a function that builds the settings; it may be called only if there was no problem. */
function readSections(readerOf: SectionReaderFactory): () => Settings {
	const daemon = readerOf('daemon');
	const role = daemon.required('role', readOneOf(['entry', 'endpoint'] as const));
	const readCommon = readCommonSections(readerOf);
	switch (role) {
		case 'entry': {
			const buildEntry = readEntry(readerOf('entry'));
			readerOf('endpoint').forbid(knownKeys.endpoint ?? [], 'no key of [endpoint] with role = entry');
			return () => ({role, ...readCommon(), ...buildEntry()});
		}

		case 'endpoint': {
			const buildEndpoint = readEndpoint(readerOf('endpoint'));
			readerOf('entry').forbid(knownKeys.entry ?? [], 'no key of [entry] with role = endpoint');
			return () => ({role, ...readCommon(), ...buildEndpoint()});
		}

		case undefined: {
			return () => {
				throw new InvariantError('invariant broken: settings: built without a role');
			};
		}
	}
}

function readCommonSections(readerOf: SectionReaderFactory) {
	const daemon = readerOf('daemon');
	const platform = readerOf('platform');
	const peers = readerOf('peers');
	const common = {
		id: daemon.required('id', readName),
		region: daemon.required('region', readName),
		zone: daemon.required('zone', readName),
		address: daemon.required('address', readPeerAddress),
		logLevel: daemon.optional('log-level', readOneOf(logLevels), settingsDefaults.logLevel),
		memoryMb: daemon.optional('memory-mb', readInteger(MIN_MEMORY_MB, MAX_MEMORY_MB), settingsDefaults.memoryMb),
		maxOpenFiles: daemon.optional('max-open-files', readInteger(MIN_OPEN_FILES, MAX_OPEN_FILES), settingsDefaults.maxOpenFiles),
	};
	const platformDraft = {
		url: platform.required('url', readOrigin),
		key: platform.either(['key', readInlineKey], ['key-file', readKeyPath]),
	};
	const peersDraft = {
		sharedKey: peers.either(['shared-key', readInlineKey], ['shared-key-file', readKeyPath]),
		seeds: peers.optional('seeds', readSeeds, []),
	};
	return () => ({...assertComplete(common), platform: assertComplete(platformDraft), peers: assertComplete(peersDraft)});
}

function readEntry(entry: SectionReader) {
	const draft = {
		listen: entry.required('listen', readAddress(0)),
		operatorKeyHash: entry.required('operator-key-sha256', readHash),
		maxBodyBytes: entry.optional('max-body-bytes', readInteger(MIN_BODY_BYTES, MAX_BODY_BYTES), settingsDefaults.maxBodyBytes),
		subsetSize: entry.optional('subset-size', readInteger(1, MAX_SUBSET_SIZE), settingsDefaults.subsetSize),
	};
	return () => assertComplete(draft);
}

function readEndpoint(endpoint: SectionReader) {
	const kind = endpoint.required('kind', readOneOf(['model', 'service'] as const));
	const draft = {
		backendUrl: endpoint.required('backend-url', readOrigin),
		backend: kind === undefined ? undefined : readBackend(endpoint, kind),
	};
	return () => assertComplete(draft);
}

function readBackend(endpoint: SectionReader, kind: Backend['kind']): Backend | undefined {
	if (kind === 'service') {
		const service = endpoint.required('service', readName);
		endpoint.forbid(modelKeys, 'only with kind = model');
		return service === undefined ? undefined : {kind, service};
	}

	endpoint.forbid(['service'], 'only with kind = service');
	const group = endpoint.required('group', readName);
	const groupSize = endpoint.required('group-size', readInteger(1, MAX_GROUP_SIZE));
	const ranks = endpoint.required('ranks', readRanks);
	const models = endpoint.required('models', readList(readModelName));
	const rebalanceSeconds = endpoint.optional('rebalance-seconds', readInteger(1, MAX_REBALANCE_SECONDS), settingsDefaults.rebalanceSeconds);
	const ranksEntry = endpoint.entry('ranks');
	if (ranksEntry !== undefined && ranks !== undefined && groupSize !== undefined && ranks.last >= groupSize) {
		endpoint.report(ranksEntry, `${ranks.first}-${ranks.last}`, `ranks from 0 to ${groupSize - 1}, below group-size`);
	}

	return group === undefined || groupSize === undefined || ranks === undefined || models === undefined || rebalanceSeconds === undefined
		? undefined
		: {
			kind, group, groupSize, ranks, models, rebalanceSeconds,
		};
}

const readSeeds: ValueReader<ReadonlyArray<{readonly host: string; readonly port: number}>> = text =>
	text === '' ? ok([]) : readList(readAddress(1))(text);

/** Draft settings with all values present. */
type Complete<Draft> = {readonly [Key in keyof Draft]: Exclude<Draft[Key], undefined>};

function assertComplete<Draft extends Readonly<Record<string, unknown>>>(draft: Draft): Complete<Draft> {
	invariant(Object.values(draft).every(value => value !== undefined), 'settings: a value is missing without a finding');
	return draft as Complete<Draft>;
}
