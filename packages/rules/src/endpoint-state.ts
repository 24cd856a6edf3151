/**
 * Whether an endpoint takes work. A target takes work unless one of its rules closes it,
 * and an endpoint takes work when it, its group and its zone do.
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

/** State of an endpoint or a target at one time. */
export type AccessState
	= | {
		readonly kind: 'open';
		/** Time in milliseconds of the next planned change. Absent when none is planned. */
		readonly nextChangeAt?: number;
	}
	| {
		readonly kind: 'closed';
		/** The rule that closes it; the first one when several do. */
		readonly rule: AccessRule;
		readonly nextChangeAt?: number;
	};

// Daily hours change twice a day, so this covers more than a year ahead. Past it the time
// reached is returned, at which the state can be asked again.
const MAX_CHANGES_AHEAD = 1000;
// After the last planned change only daily hours are left. They repeat each day, so two days
// without a change mean that none follows.
const REPEAT_MS = 2 * 24 * 60 * 60 * 1000;

/** State of an endpoint at `now` (milliseconds). */
export function endpointState(ruleSet: RuleSet, endpoint: EndpointNames, now: number): AccessState {
	const targets: Target[] = [
		{kind: 'endpoint', name: endpoint.id},
		...(endpoint.group === undefined ? [] : [{kind: 'group', name: endpoint.group} as const]),
		{kind: 'zone', name: endpoint.zone},
	];
	return stateOf(targets.map(target => ruleSet.access.get(targetKey(target)) ?? []), now);
}

/** State of one target by its own rules alone at `now` (milliseconds). */
export function targetState(ruleSet: RuleSet, target: Target, now: number): AccessState {
	return stateOf([ruleSet.access.get(targetKey(target)) ?? []], now);
}

function stateOf(rulesByTarget: ReadonlyArray<readonly AccessRule[]>, now: number): AccessState {
	const closing = findClosing(rulesByTarget, now);
	const nextChangeAt = findNextChange(rulesByTarget, now, closing !== undefined);
	const next = nextChangeAt === undefined ? {} : {nextChangeAt};
	return closing === undefined ? {kind: 'open', ...next} : {kind: 'closed', rule: closing, ...next};
}

function findNextChange(rulesByTarget: ReadonlyArray<readonly AccessRule[]>, now: number, closed: boolean): number | undefined {
	const rules = rulesByTarget.flat();
	const horizon = lastPlanned(rules, now) + REPEAT_MS;
	let time = nextEvent(rules, now);
	for (let i = 0; i < MAX_CHANGES_AHEAD && time !== undefined && time <= horizon; i += 1) {
		if ((findClosing(rulesByTarget, time) !== undefined) !== closed) {
			return time;
		}

		time = nextEvent(rules, time);
	}

	return time !== undefined && time <= horizon ? time : undefined;
}

function lastPlanned(rules: readonly AccessRule[], now: number): number {
	return Math.max(now, ...rules.map(rule => 'at' in rule.access ? rule.access.at : now));
}

/** The first time strictly after `time` at which one of the rules takes or loses effect. */
function nextEvent(rules: readonly AccessRule[], time: number): number | undefined {
	const times = rules.flatMap(({access}) => {
		if (access.kind === 'hours') {
			return [nextBoundary(access.hours, time)];
		}

		return 'at' in access && access.at > time ? [access.at] : [];
	});
	return times.length === 0 ? undefined : Math.min(...times);
}

function findClosing(rulesByTarget: ReadonlyArray<readonly AccessRule[]>, now: number): AccessRule | undefined {
	for (const rules of rulesByTarget) {
		const closing = rules.find(rule => rule.access.kind === 'closed')
			?? findClosingPlan(rules, now)
			?? rules.find(({access}) => access.kind === 'hours' && !isWithinHours(access.hours, now));
		if (closing !== undefined) {
			return closing;
		}
	}

	return undefined;
}

/** The last planned change that has passed decides; before the first one the target is in the opposite state. */
function findClosingPlan(rules: readonly AccessRule[], now: number): AccessRule | undefined {
	const plans = rules
		.flatMap(rule => 'at' in rule.access ? [{rule, access: rule.access}] : [])
		.toSorted((a, b) => a.access.at - b.access.at);
	const last = plans.findLast(plan => plan.access.at <= now);
	if (last !== undefined) {
		return last.access.kind === 'close-at' ? last.rule : undefined;
	}

	const [first] = plans;
	return first?.access.kind === 'open-at' ? first.rule : undefined;
}
