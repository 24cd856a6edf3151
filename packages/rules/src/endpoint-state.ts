/**
 * Evaluates whether an endpoint accepts work. A target is open unless one of its rules closes it,
 * and an endpoint accepts work if the endpoint itself, its group and its zone are all open.
 */
import {isWithinHours, nextBoundary} from './daily-hours.js';
import {
	targetKey, type AccessRule, type RuleSet, type Target,
} from './model.js';

/** Names by which rules can address an endpoint. */
export type EndpointNames = {
	readonly id: string;
	readonly zone: string;
	readonly group?: string;
};

/** State of an endpoint or a target at a point in time. */
export type AccessState
	= | {
		readonly kind: 'open';
		/** Time of the next scheduled change, in milliseconds since the epoch. Absent if none is scheduled. */
		readonly nextChangeAt?: number;
	}
	| {
		readonly kind: 'closed';
		/** The rule that closes it; the first one if several do. */
		readonly rule: AccessRule;
		readonly nextChangeAt?: number;
	};

// Daily hours change twice a day, so this covers more than a year ahead. Beyond it the time
// reached is returned, at which the caller can evaluate the state again.
const MAX_STEPS = 1000;
// After the last scheduled change only daily hours remain. They repeat each day, so two days
// without a change mean that no change follows.
const DAILY_HOURS_LOOKAHEAD_MS = 2 * 24 * 60 * 60 * 1000;

/** State of an endpoint at `now`, in milliseconds since the epoch. */
export function endpointState(ruleSet: RuleSet, endpoint: EndpointNames, now: number): AccessState {
	const targets: Target[] = [
		{kind: 'endpoint', name: endpoint.id},
		...(endpoint.group === undefined ? [] : [{kind: 'group', name: endpoint.group} as const]),
		{kind: 'zone', name: endpoint.zone},
	];
	return evaluateState(targets.map(target => ruleSet.access.get(targetKey(target)) ?? []), now);
}

/** State of a single target at `now`, in milliseconds since the epoch, considering only its own rules. */
export function targetState(ruleSet: RuleSet, target: Target, now: number): AccessState {
	return evaluateState([ruleSet.access.get(targetKey(target)) ?? []], now);
}

function evaluateState(rulesByTarget: ReadonlyArray<readonly AccessRule[]>, now: number): AccessState {
	const closingRule = findClosingRule(rulesByTarget, now);
	const nextChangeAt = findNextChange(rulesByTarget, now, closingRule !== undefined);
	const nextChange = nextChangeAt === undefined ? {} : {nextChangeAt};
	return closingRule === undefined ? {kind: 'open', ...nextChange} : {kind: 'closed', rule: closingRule, ...nextChange};
}

function findNextChange(rulesByTarget: ReadonlyArray<readonly AccessRule[]>, now: number, isClosed: boolean): number | undefined {
	const rules = rulesByTarget.flat();
	const horizon = lastScheduledTime(rules, now) + DAILY_HOURS_LOOKAHEAD_MS;
	let time = nextTransition(rules, now);
	for (let i = 0; i < MAX_STEPS && time !== undefined && time <= horizon; i += 1) {
		if ((findClosingRule(rulesByTarget, time) !== undefined) !== isClosed) {
			return time;
		}

		time = nextTransition(rules, time);
	}

	return time !== undefined && time <= horizon ? time : undefined;
}

function lastScheduledTime(rules: readonly AccessRule[], now: number): number {
	return Math.max(now, ...rules.map(rule => 'at' in rule.access ? rule.access.at : now));
}

/** First time strictly after `time` at which a rule starts or stops applying. */
function nextTransition(rules: readonly AccessRule[], time: number): number | undefined {
	const times = rules.flatMap(({access}) => {
		if (access.kind === 'hours') {
			return [nextBoundary(access.hours, time)];
		}

		return 'at' in access && access.at > time ? [access.at] : [];
	});
	return times.length === 0 ? undefined : Math.min(...times);
}

function findClosingRule(rulesByTarget: ReadonlyArray<readonly AccessRule[]>, now: number): AccessRule | undefined {
	for (const rules of rulesByTarget) {
		const closingRule = rules.find(rule => rule.access.kind === 'closed')
			?? findScheduledClosingRule(rules, now)
			?? rules.find(({access}) => access.kind === 'hours' && !isWithinHours(access.hours, now));
		if (closingRule !== undefined) {
			return closingRule;
		}
	}

	return undefined;
}

/** The most recent scheduled change applies; before the first one the target is in the opposite state. */
function findScheduledClosingRule(rules: readonly AccessRule[], now: number): AccessRule | undefined {
	const scheduled = rules
		.flatMap(rule => 'at' in rule.access ? [{rule, access: rule.access}] : [])
		.toSorted((a, b) => a.access.at - b.access.at);
	const last = scheduled.findLast(entry => entry.access.at <= now);
	if (last !== undefined) {
		return last.access.kind === 'close-at' ? last.rule : undefined;
	}

	const [first] = scheduled;
	return first?.access.kind === 'open-at' ? first.rule : undefined;
}
