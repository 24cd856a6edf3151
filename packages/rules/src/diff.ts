/** Differences between two rule sets. */
import {formatRule} from './format.js';
import {targetKey, type Rule, type RuleSet} from './model.js';

/** Rules that differ; each names in `asked` who asked for it. */
export type RulesDiff = {
	readonly added: readonly Rule[];
	readonly removed: readonly Rule[];
	readonly changed: ReadonlyArray<{readonly before: Rule; readonly after: Rule}>;
};

/** Differences from `before` to `after`. Order, blank lines and spelling of equal rules do not count. */
export function diffRules(before: RuleSet, after: RuleSet): RulesDiff {
	const old = new Map(before.rules.map(rule => [ruleKey(rule), rule]));
	const next = new Map(after.rules.map(rule => [ruleKey(rule), rule]));
	const changed = [...next].flatMap(([key, rule]) => {
		const prev = old.get(key);
		return prev === undefined || formatRule(prev) === formatRule(rule) ? [] : [{before: prev, after: rule}];
	});
	return {
		added: [...next].filter(([key]) => !old.has(key)).map(([, rule]) => rule),
		removed: [...old].filter(([key]) => !next.has(key)).map(([, rule]) => rule),
		changed,
	};
}

/** True when two rule sets say the same. */
export function isEmptyDiff(diff: RulesDiff): boolean {
	return diff.added.length === 0 && diff.removed.length === 0 && diff.changed.length === 0;
}

/** What a rule is about; a file holds one rule for each. */
export function ruleKey(rule: Rule): string {
	switch (rule.kind) {
		case 'access': {
			return `${targetKey(rule.target)} ${accessKey(rule.access)}`;
		}

		case 'experts': {
			return `experts ${rule.model}`;
		}

		case 'engines': {
			return `engines ${rule.scope}`;
		}

		case 'workspace':
		case 'model':
		case 'service': {
			return `${rule.kind} ${rule.name}`;
		}
	}
}

function accessKey(access: (Rule & {readonly kind: 'access'})['access']): string {
	switch (access.kind) {
		case 'open':
		case 'closed': {
			return 'state';
		}

		case 'hours': {
			return 'hours';
		}

		case 'open-at':
		case 'close-at': {
			return `at ${access.at}`;
		}
	}
}
