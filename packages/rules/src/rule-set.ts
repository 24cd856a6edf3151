import {
	targetKey, type AccessRule, type EnginesRule, type ExpertRule, type ModelRule,
	type Rule, type RuleSet, type ServiceRule, type WorkspaceRule,
} from './model.js';

/** Builds a rule set with its indexes. The parser reports duplicates; here a later rule overwrites an earlier one. */
export function createRuleSet(rules: readonly Rule[]): RuleSet {
	const access = new Map<string, AccessRule[]>();
	const workspaces = new Map<string, WorkspaceRule>();
	const workspacesByKeyHash = new Map<string, WorkspaceRule>();
	const models = new Map<string, ModelRule>();
	const experts = new Map<string, ExpertRule>();
	const services = new Map<string, ServiceRule>();
	const engines = new Map<string, EnginesRule>();
	for (const rule of rules) {
		switch (rule.kind) {
			case 'access': {
				const key = targetKey(rule.target);
				const targetRules = access.get(key) ?? [];
				access.set(key, targetRules);
				targetRules.push(rule);
				break;
			}

			case 'workspace': {
				workspaces.set(rule.name, rule);
				for (const hash of rule.keyHashes) {
					workspacesByKeyHash.set(hash, rule);
				}

				break;
			}

			case 'model': {
				models.set(rule.name, rule);
				break;
			}

			case 'experts': {
				experts.set(rule.model, rule);
				break;
			}

			case 'service': {
				services.set(rule.name, rule);
				break;
			}

			case 'engines': {
				engines.set(rule.scope, rule);
				break;
			}
		}
	}

	return {
		rules, access, workspaces, workspacesByKeyHash, models, experts, services, engines,
	};
}
