/** Parsers of the individual kinds of rules. The grammar is described in the README of the package. */
import {
	fencingModes, idempotencyModes, ruleDefaults, targetKinds, type Access, type AccessRule, type CallPattern,
	type EnginesRule, type ExpertRule, type ModelRule, type RuleOrigin, type Rule, type ServiceRule, type TargetKind, type WorkspaceRule,
} from './model.js';
import type {ValueReader} from './problem.js';
import type {StatementReader} from './statement-reader.js';
import {readHours, readTime} from './time-values.js';
import {
	isValidPath, readDecimal, readDuration, readHash, readInteger, readList, readLookupPath, readName, readOneOf, invalidValue,
} from './values.js';
import {ok} from '#core';

const MINUTE_MS = 60_000;
const MAX_RETENTION_MS = 30 * 24 * 60 * MINUTE_MS;
const MAX_PRIORITY = 9;
const MAX_WEIGHT = 1000;
// Far above the fleet's peak of 3.4 M tokens/s, so that only a typing error exceeds it.
const MAX_RATE_PER_SECOND = 1_000_000_000;
const MAX_COPIES = 4096;
const MAX_KEYS = 4;

/** Keywords that start a rule. */
const ruleKeywords = [...targetKinds, 'workspace', 'model', 'experts', 'service', 'engines'] as const;

/** Parses the words of one line. Returns undefined if the reader has collected a problem. */
export function parseStatement(reader: StatementReader, origin: RuleOrigin): Rule | undefined {
	const keyword = reader.keyword(ruleKeywords);
	switch (keyword) {
		case undefined: {
			return undefined;
		}

		case 'endpoint':
		case 'group':
		case 'zone': {
			return parseAccess(reader, keyword, origin);
		}

		case 'workspace': {
			return parseWorkspace(reader, origin);
		}

		case 'model': {
			return parseModel(reader, origin);
		}

		case 'experts': {
			return parseExperts(reader, origin);
		}

		case 'service': {
			return parseService(reader, origin);
		}

		case 'engines': {
			return parseEngines(reader, origin);
		}
	}
}

function parseAccess(reader: StatementReader, kind: TargetKind, origin: RuleOrigin): AccessRule | undefined {
	const name = reader.value(`the name of the ${kind}`, readName);
	const access = name === undefined ? undefined : parseAccessWords(reader);
	if (name === undefined || access === undefined) {
		return undefined;
	}

	reader.expectEnd();
	return {
		...origin, kind: 'access', target: {kind, name}, access,
	};
}

function parseAccessWords(reader: StatementReader): Access | undefined {
	const word = reader.keyword(['open', 'closed', 'close', 'hours'] as const);
	switch (word) {
		case undefined: {
			return undefined;
		}

		case 'closed': {
			return {kind: 'closed'};
		}

		case 'open': {
			return reader.isAtEnd ? {kind: 'open'} : parsePlan(reader, 'open-at');
		}

		case 'close': {
			return parsePlan(reader, 'close-at');
		}

		case 'hours': {
			const hours = reader.value('daily hours such as 06:00-22:00@+05:30', readHours);
			return hours && {kind: 'hours', hours};
		}
	}
}

function parsePlan(reader: StatementReader, kind: 'open-at' | 'close-at'): Access | undefined {
	if (reader.keyword(['at'] as const) === undefined) {
		return undefined;
	}

	const at = reader.value('a time such as 2026-12-05T18:00Z', readTime);
	return at === undefined ? undefined : {kind, at};
}

function parseWorkspace(reader: StatementReader, origin: RuleOrigin): WorkspaceRule | undefined {
	const name = reader.value('the name of the workspace', readName);
	if (name === undefined) {
		return undefined;
	}

	const options = reader.options({
		'key-sha256': readList(readHash, MAX_KEYS),
		priority: readInteger(0, MAX_PRIORITY),
		weight: readInteger(1, MAX_WEIGHT),
		'limit-tokens-per-second': readInteger(1, MAX_RATE_PER_SECOND),
		'limit-requests-per-second': readInteger(1, MAX_RATE_PER_SECOND),
	}, ['key-sha256']);
	const tokens = options['limit-tokens-per-second'];
	const requests = options['limit-requests-per-second'];
	return {
		...origin,
		kind: 'workspace',
		name,
		keyHashes: options['key-sha256'] ?? [],
		priority: options.priority ?? ruleDefaults.priority,
		weight: options.weight ?? ruleDefaults.weight,
		...(tokens === undefined ? {} : {limitTokensPerSecond: tokens}),
		...(requests === undefined ? {} : {limitRequestsPerSecond: requests}),
	};
}

function parseModel(reader: StatementReader, origin: RuleOrigin): ModelRule | undefined {
	const name = reader.value('the name of the model', readName);
	if (name === undefined) {
		return undefined;
	}

	const options = reader.options({versions: readList(readName), adapters: readList(readName)}, ['versions']);
	return {
		...origin, kind: 'model', name, versions: options.versions ?? [], adapters: options.adapters ?? [],
	};
}

function parseExperts(reader: StatementReader, origin: RuleOrigin): ExpertRule | undefined {
	const model = reader.value('the name of a model', readName);
	if (model === undefined) {
		return undefined;
	}

	const options = reader.options({
		copies: readInteger(0, MAX_COPIES),
		'skew-weight': readDecimal(MAX_WEIGHT),
		'move-weight': readDecimal(MAX_WEIGHT),
		quiet: readHours,
	}, []);
	return {
		...origin,
		kind: 'experts',
		model,
		copies: options.copies ?? ruleDefaults.copies,
		skewWeight: options['skew-weight'] ?? ruleDefaults.skewWeight,
		moveWeight: options['move-weight'] ?? ruleDefaults.moveWeight,
		...(options.quiet === undefined ? {} : {quiet: options.quiet}),
	};
}

function parseService(reader: StatementReader, origin: RuleOrigin): ServiceRule | undefined {
	const name = reader.value('the name of the service', readName);
	if (name === undefined) {
		return undefined;
	}

	const options = reader.options({
		idempotency: readOneOf(idempotencyModes),
		retention: readDuration(MINUTE_MS, MAX_RETENTION_MS),
		lookup: readLookupPath,
		'non-idempotent': readCallPatterns,
	}, ['idempotency']);
	if (options.idempotency === 'none') {
		rejectClaimOptions(reader, options);
	}

	if (options.idempotency === 'required' && options['non-idempotent']?.length === 0) {
		reader.addProblem('non-idempotent', 'none', 'at least one pattern together with idempotency=required');
	}

	return {
		...origin,
		kind: 'service',
		name,
		idempotency: options.idempotency ?? 'required',
		retentionMs: options.retention ?? ruleDefaults.retentionMs,
		...(options.lookup === undefined ? {} : {lookup: options.lookup}),
		nonIdempotent: options['non-idempotent'] ?? ruleDefaults.nonIdempotent,
	};
}

/** Without claims there is nothing to retain or look up, so these options are rejected. */
function rejectClaimOptions(reader: StatementReader, options: {readonly retention?: number; readonly lookup?: string}): void {
	for (const key of ['retention', 'lookup'] as const) {
		if (options[key] !== undefined) {
			reader.addProblem(key, `${key}=... with idempotency=none`, `${key} only with idempotency=required or optional`);
		}
	}
}

function parseEngines(reader: StatementReader, origin: RuleOrigin): EnginesRule | undefined {
	const scope = reader.value('the name of a zone or group', readName);
	if (scope === undefined) {
		return undefined;
	}

	const {fencing} = reader.options({fencing: readOneOf(fencingModes)}, ['fencing']);
	return {
		...origin, kind: 'engines', scope, fencing: fencing ?? 'ignored',
	};
}

const readCallPatterns: ValueReader<readonly CallPattern[]> = text =>
	text === 'none' ? ok([]) : readList(readCallPattern)(text);

const readCallPattern: ValueReader<CallPattern> = text => {
	const match = /^(?<method>\*|[A-Za-z]{1,16}):(?<path>\/.*)$/u.exec(text);
	const path = match?.groups?.path ?? '';
	return isValidPathPattern(path)
		? ok({method: (match?.groups?.method ?? '').toUpperCase(), path})
		: invalidValue(text, 'METHOD:/path such as POST:/orders/* or *:/bookings/** ("*" is one segment, "**" any rest), or none alone');
};

function isValidPathPattern(path: string): boolean {
	const segments = path.split('/');
	return isValidPath(path.replaceAll('*', '')) && segments.every((segment, i) =>
		!segment.includes('*') || segment === '*' || (segment === '**' && i === segments.length - 1));
}
