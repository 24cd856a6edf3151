/** Differences between two rule sets. */
import {formatRule} from './format.js';
import {targetKey, type Rule, type RuleSet} from './model.js';

/** Rules that differ; `attribution` of each rule names its author. */
export type RulesDiff = {
	readonly added: readonly Rule[];
	readonly removed: readonly Rule[];
	readonly changed: ReadonlyArray<{readonly before: Rule; readonly after: Rule}>;
};

/** Returns the differences from `before` to `after`. Order, blank lines and formatting of equal rules are ignored. */
export function diffRules(before: RuleSet, after: RuleSet): RulesDiff {
	const beforeByKey = new Map(before.rules.map(rule => [ruleKey(rule), rule]));
	const afterByKey = new Map(after.rules.map(rule => [ruleKey(rule), rule]));
	const changed = [...afterByKey].flatMap(([key, rule]) => {
		const earlier = beforeByKey.get(key);
		return earlier === undefined || formatRule(earlier) === formatRule(rule) ? [] : [{before: earlier, after: rule}];
	});
	return {
		added: [...afterByKey].filter(([key]) => !beforeByKey.has(key)).map(([, rule]) => rule),
		removed: [...beforeByKey].filter(([key]) => !afterByKey.has(key)).map(([, rule]) => rule),
		changed,
	};
}

/** True if the two rule sets are equivalent. */
export function isEmptyDiff(diff: RulesDiff): boolean {
	return diff.added.length === 0 && diff.removed.length === 0 && diff.changed.length === 0;
}

/** Unique key of a rule; a file contains at most one rule for each key. */
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
