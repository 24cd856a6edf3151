/** Public API: rule model, parser, formatter, diff and queries. */
export {
	fencingModes,
	idempotencyModes,
	ruleDefaults,
	targetKey,
	targetKinds,
	type Access,
	type AccessRule,
	type Attribution,
	type CallPattern,
	type DailyHours,
	type DailyWindow,
	type EnginesRule,
	type ExpertRule,
	type FencingMode,
	type IdempotencyMode,
	type ModelRule,
	type RuleOrigin,
	type Rule,
	type RuleSet,
	type ServiceRule,
	type Target,
	type TargetKind,
	type WorkspaceRule,
} from './model.js';
export {createRuleSet} from './rule-set.js';
export {isWithinHours, nextBoundary} from './daily-hours.js';
export {
	endpointState, targetState, type AccessState, type EndpointNames,
} from './endpoint-state.js';
export {
	expertRule,
	fencingModeOf,
	isNonIdempotent,
	quietHoursEnd,
	resolveModel,
	serviceRule,
	workspaceByKeyHash,
	type ResolvedModel,
} from './queries.js';
export {isValidAuthor} from './attribution.js';
export {maxLineChars, maxRulesBytes, parseRules} from './parse.js';
export {formatRule, formatRules, formatStatement} from './format.js';
export {formatHours, formatTime} from './time-values.js';
export {
	diffRules, isEmptyDiff, ruleKey, type RulesDiff,
} from './diff.js';
export {appendRule, removeLines} from './edit.js';
export {describeAllowedWords, closestWord} from './word-suggestions.js';
export {isValidName, nameSyntax} from './values.js';
