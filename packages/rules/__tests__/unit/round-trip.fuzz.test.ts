/** Uses FUZZ_SEED and FUZZ_RUNS from the environment if set, otherwise a fixed seed. */
import {isDeepStrictEqual} from 'node:util';
import fc from 'fast-check';
import t from 'tap';
import {
	createRuleSet, formatRules, parseRules, targetKinds, type Rule,
} from '#rules';
import {fuzzParameters} from '#tooling';

const params = fuzzParameters({seed: 20_261_204, runs: 300});

const name = fc.stringMatching(/^[A-Za-z\d][\w.-]{0,9}$/u);
const names = (min: number) => fc.uniqueArray(name, {minLength: min, maxLength: 4});
const decimal = fc.nat(1_000_000).map(n => n / 1000);
const hash = fc.stringMatching(/^[\da-f]{64}$/u);
const minute = fc.integer({min: 0, max: 1439});
const hours = fc.record({
	windows: fc.uniqueArray(minute, {minLength: 2, maxLength: 8}).map(points => {
		const sorted = points.toSorted((a, b) => a - b).slice(0, points.length - (points.length % 2));
		return sorted.flatMap((from, i) => i % 2 === 0 ? [{from, to: (sorted[i + 1] ?? 0)}] : []);
	}),
	offsetMinutes: fc.integer({min: -840, max: 840}),
});
const time = fc.integer({min: Date.UTC(2000) / 1000, max: (Date.UTC(2100) / 1000) - 1}).map(seconds => seconds * 1000);
const access = fc.oneof(
	fc.record({kind: fc.constantFrom('open', 'closed')}),
	fc.record({kind: fc.constantFrom('open-at', 'close-at'), at: time}),
	fc.record({kind: fc.constant('hours'), hours}),
);
const positive = fc.integer({min: 1, max: 1000});
const path = fc.array(name, {minLength: 1, maxLength: 3}).map(parts => `/${parts.join('/')}`);
const pattern = fc.record({method: fc.constantFrom('*', 'POST', 'PUT'), path: path.map(text => `${text}/**`)});
const ruleBody = fc.oneof(
	fc.record({kind: fc.constant('access'), target: fc.record({kind: fc.constantFrom(...targetKinds), name}), access}),
	fc.record({
		kind: fc.constant('workspace'),
		name,
		keyHashes: fc.uniqueArray(hash, {minLength: 1, maxLength: 3}),
		priority: fc.integer({min: 0, max: 9}),
		weight: positive,
		limitTokensPerSecond: positive,
		limitRequestsPerSecond: positive,
	}, {requiredKeys: ['kind', 'name', 'keyHashes', 'priority', 'weight']}),
	fc.record({
		kind: fc.constant('model'), name, versions: names(1), adapters: names(0),
	}),
	fc.record({
		kind: fc.constant('experts'), model: name, copies: fc.nat(4096), skewWeight: decimal, moveWeight: decimal, quiet: hours,
	}, {requiredKeys: ['kind', 'model', 'copies', 'skewWeight', 'moveWeight']}),
	fc.record({
		kind: fc.constant('service'),
		name,
		idempotency: fc.constantFrom('required', 'optional'),
		retentionMs: fc.integer({min: 60, max: 2_592_000}).map(seconds => seconds * 1000),
		lookup: path.map(text => `${text}/{key}`),
		nonIdempotent: fc.uniqueArray(pattern, {selector: item => item.method + item.path, minLength: 1, maxLength: 3}),
	}, {requiredKeys: ['kind', 'name', 'idempotency', 'retentionMs', 'nonIdempotent']}),
	fc.record({kind: fc.constant('engines'), scope: name, fencing: fc.constantFrom('checked', 'ignored')}),
);
const attribution = fc.record({
	author: fc.stringMatching(/^[A-Za-zක-ෆ]{1,9}( [A-Za-z'.]{1,9})?$/u),
	reason: fc.stringMatching(/^[ -~]{0,30}$/u).map(text => text.trim()),
});

/** Adds a model rule for each expert rule, and keeps only rules that do not duplicate or contradict others. */
const ruleSet = fc.array(fc.tuple(ruleBody, attribution), {maxLength: 12}).map(drafts => {
	const models = drafts.flatMap(([draft, draftAttribution]) => draft.kind === 'experts' && 'model' in draft
		? [[{
			kind: 'model', name: draft.model, versions: ['1'], adapters: [],
		}, draftAttribution] as const]
		: []);
	const kept: Rule[] = [];
	for (const [draft, draftAttribution] of [...models, ...drafts]) {
		const rule = structuredClone({...draft, attribution: draftAttribution, line: kept.length + 1}) as Rule;
		const text = formatRules(createRuleSet([...kept, rule]));
		if (parseRules(text, 'a').kind === 'ok') {
			kept.push(rule);
		}
	}

	return {drafts, rules: createRuleSet(kept)};
});

// Guards against canonical text with a different meaning than the rules it was formatted from.
await t.test('parsing the canonical text returns the same rules', t => {
	let keptCount = 0;
	let draftCount = 0;
	fc.assert(fc.property(ruleSet, ({drafts, rules}) => {
		keptCount += rules.rules.length;
		draftCount += drafts.length;
		const result = parseRules(formatRules(rules), 'a');
		return result.kind === 'ok' && isDeepStrictEqual(result.value, rules);
	}), params);
	t.ok(keptCount >= draftCount * 0.9, 'the generator produces valid rules');
	t.end();
});

// Guards against a file that crashes the command or a daemon with an exception.
await t.test('the parser returns a result for arbitrary text', t => {
	const words = fc.constantFrom('zone', 'endpoint', 'workspace', 'experts', 'service', 'open', 'at', 'hours', 'x', '=', 'quiet=', 'lookup=/{key}', '@', '__proto__=1', '#', 'asked by', '\n', '\t');
	const text = fc.oneof(fc.string({unit: 'binary', maxLength: 200}), fc.array(fc.oneof(words, fc.string({maxLength: 9})), {maxLength: 40}).map(parts => parts.join(' ')));
	fc.assert(fc.property(text, input => {
		const result = parseRules(input, 'a');
		return result.kind === 'ok'
			? parseRules(formatRules(result.value), 'a').kind === 'ok'
			: result.failure.length > 0 && result.failure.every(({line, column}) => line > 0 && column > 0);
	}), params);
	t.end();
});
