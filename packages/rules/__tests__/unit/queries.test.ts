import t from 'tap';
import {
	appendRule, diffRules, endpointState, expertRule, fencingModeOf, formatRule, isEmptyDiff, isNonIdempotent, parseRules,
	quietHoursEnd, removeLines, resolveModel, serviceRule, targetState, workspaceByKeyHash, type RuleSet,
} from '#rules';

const toMs = (time: string) => Date.parse(time);

function parse(...lines: readonly string[]): RuleSet {
	const result = parseRules(lines.map(line => line.includes('#') ? line : `${line} # asked by A`).join('\n'), 'a.rules');
	if (result.kind === 'failed') {
		throw new Error(JSON.stringify(result.failure));
	}

	return result.value;
}

/** Rules, time, expected state (`open` or the line of the closing rule), expected time of the next change. */
type StateCase = readonly [rules: readonly string[], now: string, state: 'open' | number, next?: string];

const stateCases: readonly StateCase[] = [
	[[], '2026-12-05T00:00Z', 'open'],
	[['endpoint f closed', 'zone z2 closed', 'group h closed'], '2026-12-05T00:00Z', 'open'],
	[['endpoint e open', 'zone z closed'], '2026-12-05T00:00Z', 2],
	[['group g closed', 'endpoint e closed'], '2026-12-05T00:00Z', 2],
	[['endpoint e close at 2026-12-05T18:00Z'], '2026-12-05T17:59:59Z', 'open', '2026-12-05T18:00Z'],
	[['endpoint e close at 2026-12-05T18:00Z'], '2026-12-05T18:00Z', 1],
	[['endpoint e open at 2026-12-05T18:00Z'], '2026-12-05T17:00Z', 1, '2026-12-05T18:00Z'],
	[['endpoint e open at 2026-12-06T06:00Z', 'endpoint e close at 2026-12-05T18:00Z'], '2026-12-05T20:00Z', 2, '2026-12-06T06:00Z'],
	[['endpoint e closed', 'endpoint e open at 2026-12-06T06:00Z'], '2026-12-05T20:00Z', 1],
	[['endpoint e closed', 'endpoint e open at 2026-12-06T06:00Z'], '2026-12-07T20:00Z', 1],
	// 06:00 in Colombo is 00:30 UTC.
	[['zone z hours 06:00-22:00@+05:30'], '2026-12-05T00:29:59Z', 1, '2026-12-05T00:30Z'],
	[['zone z hours 06:00-22:00@+05:30'], '2026-12-05T00:30Z', 'open', '2026-12-05T16:30Z'],
	[['zone z hours 22:00-06:00@Z'], '2026-12-05T23:00Z', 'open', '2026-12-06T06:00Z'],
	[['zone z hours 22:00-06:00@Z'], '2026-12-05T06:00Z', 1, '2026-12-05T22:00Z'],
	[['zone z hours 00:00-24:00@Z'], '2026-12-05T06:00Z', 'open'],
	// The scheduled opening is outside the daily hours, so the endpoint opens with the next window.
	[['endpoint e open at 2027-06-01T23:00Z', 'zone z hours 08:00-20:00@Z'], '2026-12-05T12:00Z', 1, '2027-06-02T08:00Z'],
	[['zone z hours 08:00-12:00@Z', 'group g hours 12:00-20:00@Z'], '2026-12-05T12:00Z', 1],
];

// Guards against an endpoint that keeps accepting work after its closing time, or stays closed after its opening time.
await t.test('state of an endpoint and its next change', t => {
	for (const [rules, now, state, next] of stateCases) {
		const result = endpointState(parse(...rules), {id: 'e', group: 'g', zone: 'z'}, toMs(now));
		const name = `${now} under ${rules.join('; ')}`;
		t.equal(result.kind === 'closed' ? result.rule.line : 'open', state, name);
		t.equal(result.nextChangeAt, next === undefined ? undefined : toMs(next), name);
	}

	t.end();
});

await t.test('the state of a target depends on its own rules only', t => {
	const rules = parse('zone z closed', 'endpoint e open');
	t.equal(targetState(rules, {kind: 'endpoint', name: 'e'}, 0).kind, 'open');
	t.equal(targetState(rules, {kind: 'zone', name: 'z'}, 0).kind, 'closed');
	t.end();
});

await t.test('each accepted key hash maps to its workspace, with upper-case or lower-case hex digits', t => {
	const rules = parse(`workspace w key-sha256=${'ab'.repeat(32)},${'cd'.repeat(32)}`);
	t.equal(workspaceByKeyHash(rules, 'AB'.repeat(32))?.name, 'w');
	t.equal(workspaceByKeyHash(rules, 'cd'.repeat(32))?.name, 'w');
	t.equal(workspaceByKeyHash(rules, 'ef'.repeat(32)), undefined);
	t.end();
});

// Guards against treating a booking as idempotent and retrying it.
await t.test('call patterns match methods and paths', t => {
	const rules = parse('service s idempotency=required non-idempotent=POST:/orders/*,*:/admin/**,PUT:/', 'service d idempotency=optional');
	const cases: ReadonlyArray<readonly [string, string, string, boolean]> = [
		['s', 'POST', '/orders/7', true],
		['s', 'post', '//orders/7/?x=1', true],
		['s', 'POST', '/orders', false],
		['s', 'POST', '/orders/7/8', false],
		['s', 'GET', '/orders/7', false],
		['s', 'GET', '/admin', true],
		['s', 'DELETE', '/admin/a/b', true],
		['s', 'PUT', '/', true],
		['d', 'PATCH', '/anything/at/all', true],
		['d', 'PUT', '/anything', false],
	];
	for (const [service, method, path, expected] of cases) {
		const rule = serviceRule(rules, service);
		t.equal(rule && isNonIdempotent(rule, method, path), expected, `${service} ${method} ${path}`);
	}

	t.equal(serviceRule(rules, 'x'), undefined);
	t.end();
});

await t.test('models are resolved with version and adapter', t => {
	const rules = parse('model m versions=2,1 adapters=ta');
	t.match(resolveModel(rules, 'm'), {version: '2', adapter: undefined});
	t.match(resolveModel(rules, 'm@1:ta'), {version: '1', adapter: 'ta'});
	t.match(resolveModel(rules, 'm:ta'), {version: '2', adapter: 'ta'});
	for (const name of ['x', 'm@3', 'm:si', 'm@', '', 'm:ta@1']) {
		t.equal(resolveModel(rules, name), undefined, name);
	}

	t.end();
});

// Guards against moving experts during quiet hours.
await t.test('quiet hours end at the end of the last adjacent window', t => {
	const rule = expertRule(parse('model m versions=1', 'experts m quiet=18:00-20:00,20:00-21:00@+05:30'), 'm');
	t.equal(rule && quietHoursEnd(rule, toMs('2026-12-05T12:30Z')), toMs('2026-12-05T15:30Z'));
	t.equal(rule && quietHoursEnd(rule, toMs('2026-12-05T15:30Z')), undefined);
	t.end();
});

await t.test('fencing: a group rule takes precedence over a zone rule, and the default is ignored', t => {
	const rules = parse('engines z fencing=checked', 'engines g fencing=ignored');
	t.equal(fencingModeOf(rules, {zone: 'z', group: 'g'}), 'ignored');
	t.equal(fencingModeOf(rules, {zone: 'z', group: 'h'}), 'checked');
	t.equal(fencingModeOf(rules, {zone: 'z'}), 'checked');
	t.equal(fencingModeOf(rules, {zone: 'y'}), 'ignored');
	t.end();
});

await t.test('differences include rule and author, and order is ignored', t => {
	const before = parse('zone a open', 'zone b closed # asked by B', 'model m versions=1');
	const after = parse('model m versions=1,2 # asked by C: new version', 'zone a open', 'zone c open # asked by D');
	const diff = diffRules(before, after);
	t.same(diff.added.map(rule => formatRule(rule)), ['zone c open # asked by D']);
	t.same(diff.removed.map(rule => formatRule(rule)), ['zone b closed # asked by B']);
	t.same(diff.changed.map(change => [change.before.attribution.author, change.after.attribution.author]), [['A', 'C']]);
	t.ok(isEmptyDiff(diffRules(parse('zone a open', 'zone b open'), parse('zone b  open', '', 'zone a open'))));
	t.end();
});

// Guards against a drain that removes the operators' comments.
await t.test('edits preserve all other lines', t => {
	const text = '# head\r\n\r\nzone a open # asked by A';
	const [rule] = parse('endpoint e closed # asked by B: disk').rules;
	const added = rule ? appendRule(text, rule) : '';
	t.equal(added, `${text}\nendpoint e closed # asked by B: disk\n`);
	t.equal(removeLines(added, [4]), `${text}\n`);
	t.end();
});
