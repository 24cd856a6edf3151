/** Formats rules as canonical text. */
import type {
	Access, Attribution, ExpertRule, Rule, RuleSet, ServiceRule, WorkspaceRule,
} from './model.js';
import {formatHours, formatTime} from './time-values.js';
import {formatDuration} from './values.js';

/**
 * Formats all rules in order, one per line, with all options including defaults. Blank lines and
 * full-line comments of the original text are not part of a rule set and are omitted.
 */
export function formatRules(ruleSet: RuleSet): string {
	return ruleSet.rules.map(rule => `${formatRule(rule)}\n`).join('');
}

/** Formats one rule with its `asked by` comment, without a line break. */
export function formatRule(rule: Rule): string {
	return `${formatStatement(rule)} ${formatAttribution(rule.attribution)}`;
}

/** Formats one rule without its comment. */
export function formatStatement(rule: Rule): string {
	switch (rule.kind) {
		case 'access': {
			return `${rule.target.kind} ${rule.target.name} ${formatAccess(rule.access)}`;
		}

		case 'workspace': {
			return formatWorkspace(rule);
		}

		case 'model': {
			const adapters = rule.adapters.length === 0 ? '' : ` adapters=${rule.adapters.join(',')}`;
			return `model ${rule.name} versions=${rule.versions.join(',')}${adapters}`;
		}

		case 'experts': {
			return formatExperts(rule);
		}

		case 'service': {
			return formatService(rule);
		}

		case 'engines': {
			return `engines ${rule.scope} fencing=${rule.fencing}`;
		}
	}
}

function formatAttribution(attribution: Attribution): string {
	return attribution.reason === '' ? `# asked by ${attribution.author}` : `# asked by ${attribution.author}: ${attribution.reason}`;
}

function formatAccess(access: Access): string {
	switch (access.kind) {
		case 'open':
		case 'closed': {
			return access.kind;
		}

		case 'open-at': {
			return `open at ${formatTime(access.at)}`;
		}

		case 'close-at': {
			return `close at ${formatTime(access.at)}`;
		}

		case 'hours': {
			return `hours ${formatHours(access.hours)}`;
		}
	}
}

function formatWorkspace(rule: WorkspaceRule): string {
	return joinOptions(`workspace ${rule.name}`, {
		'key-sha256': rule.keyHashes.join(','),
		priority: rule.priority,
		weight: rule.weight,
		'limit-tokens-per-second': rule.limitTokensPerSecond,
		'limit-requests-per-second': rule.limitRequestsPerSecond,
	});
}

function formatExperts(rule: ExpertRule): string {
	return joinOptions(`experts ${rule.model}`, {
		copies: rule.copies,
		'skew-weight': rule.skewWeight,
		'move-weight': rule.moveWeight,
		quiet: rule.quiet && formatHours(rule.quiet),
	});
}

function formatService(rule: ServiceRule): string {
	const patterns = rule.nonIdempotent.map(({method, path}) => `${method}:${path}`).join(',');
	return joinOptions(`service ${rule.name}`, {
		idempotency: rule.idempotency,
		retention: rule.idempotency === 'none' ? undefined : formatDuration(rule.retentionMs),
		lookup: rule.lookup,
		'non-idempotent': patterns === '' ? 'none' : patterns,
	});
}

/** Numbers in rules have at most six decimals, so the default number formatting is exact. */
function joinOptions(statement: string, options: Readonly<Record<string, string | number | undefined>>): string {
	const formatted = Object.entries(options)
		.filter(([, value]) => value !== undefined)
		.map(([key, value]) => `${key}=${value}`);
	return [statement, ...formatted].join(' ');
}
