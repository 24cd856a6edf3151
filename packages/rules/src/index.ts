/** Public index of the rules: model, parser, canonical text, differences and queries. */
export {
	fencingModes,
	idempotencyModes,
	ruleDefaults,
	targetKey,
	targetKinds,
	type Access,
	type AccessRule,
	type Asked,
	type CallPattern,
	type DailyHours,
	type DailyWindow,
	type EnginesRule,
	type ExpertRule,
	type FencingMode,
	type IdempotencyMode,
	type ModelRule,
	type Origin,
	type Rule,
	type RuleSet,
	type ServiceRule,
	type Target,
	type TargetKind,
	type WorkspaceRule,
} from './model.js';
export {createRuleSet} from './rule-set.js';
export {isWithin, nextBoundary} from './daily-hours.js';
export {
	endpointState, targetState, type AccessState, type EndpointNames,
} from './endpoint-state.js';
export {
	expertRule,
	fencingOf,
	isNonIdempotent,
	quietUntil,
	resolveModel,
	serviceRule,
	workspaceByKeyHash,
	type ResolvedModel,
} from './queries.js';
export {isAuthor} from './asked-by.js';
export {maxLineChars, maxRulesBytes, parseRules} from './parse.js';
export {formatRule, formatRules, formatStatement} from './format.js';
export {formatHours, formatTime} from './time-values.js';
export {
	diffRules, isEmptyDiff, ruleKey, type RulesDiff,
} from './diff.js';
export {appendRule, removeLines} from './edit.js';
export {describeWords, nearestWord} from './nearest-word.js';
export {isName, nameAllowed} from './values.js';
