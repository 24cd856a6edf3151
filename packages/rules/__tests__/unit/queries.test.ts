import t from 'tap';
import {
	appendRule, diffRules, endpointState, expertRule, fencingModeOf, formatRule, isEmptyDiff, isNonIdempotent, parseRules,
	quietHoursEnd, removeLines, resolveModel, serviceRule, targetState, workspaceByKeyHash, type RuleSet,
} from '#rules';

const at = (time: string) => Date.parse(time);

function read(...lines: readonly string[]): RuleSet {
	const result = parseRules(lines.map(line => line.includes('#') ? line : `${line} # asked by A`).join('\n'), 'a.rules');
	if (result.kind === 'failed') {
		throw new Error(JSON.stringify(result.failure));
	}

	return result.value;
}

/** Rules, time, expected state with the line of the closing rule, expected next change. */
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
	// The planned opening falls outside the hours, so the endpoint opens with the next window.
	[['endpoint e open at 2027-06-01T23:00Z', 'zone z hours 08:00-20:00@Z'], '2026-12-05T12:00Z', 1, '2027-06-02T08:00Z'],
	[['zone z hours 08:00-12:00@Z', 'group g hours 12:00-20:00@Z'], '2026-12-05T12:00Z', 1],
];

// Guards against an endpoint that keeps taking work after its closing time, or stays closed after its opening.
await t.test('state of an endpoint and its next change', t => {
	for (const [rules, now, state, next] of stateCases) {
		const result = endpointState(read(...rules), {id: 'e', group: 'g', zone: 'z'}, at(now));
		const name = `${now} under ${rules.join('; ')}`;
		t.equal(result.kind === 'closed' ? result.rule.line : 'open', state, name);
		t.equal(result.nextChangeAt, next === undefined ? undefined : at(next), name);
	}

	t.end();
});

await t.test('a target is judged by its own rules alone', t => {
	const rules = read('zone z closed', 'endpoint e open');
	t.equal(targetState(rules, {kind: 'endpoint', name: 'e'}, 0).kind, 'open');
	t.equal(targetState(rules, {kind: 'zone', name: 'z'}, 0).kind, 'closed');
	t.end();
});

await t.test('each accepted key finds its workspace, in either case of hex', t => {
	const rules = read(`workspace w key-sha256=${'ab'.repeat(32)},${'cd'.repeat(32)}`);
	t.equal(workspaceByKeyHash(rules, 'AB'.repeat(32))?.name, 'w');
	t.equal(workspaceByKeyHash(rules, 'cd'.repeat(32))?.name, 'w');
	t.equal(workspaceByKeyHash(rules, 'ef'.repeat(32)), undefined);
	t.end();
});

// Guards against a booking that passes as idempotent and is retried.
await t.test('call patterns match methods and paths', t => {
	const rules = read('service s idempotency=required non-idempotent=POST:/orders/*,*:/admin/**,PUT:/', 'service d idempotency=optional');
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

await t.test('models resolve with version and adapter', t => {
	const rules = read('model m versions=2,1 adapters=ta');
	t.match(resolveModel(rules, 'm'), {version: '2', adapter: undefined});
	t.match(resolveModel(rules, 'm@1:ta'), {version: '1', adapter: 'ta'});
	t.match(resolveModel(rules, 'm:ta'), {version: '2', adapter: 'ta'});
	for (const name of ['x', 'm@3', 'm:si', 'm@', '', 'm:ta@1']) {
		t.equal(resolveModel(rules, name), undefined, name);
	}

	t.end();
});

// Guards against expert moves during readings.
await t.test('quiet hours end where the last touching window ends', t => {
	const rule = expertRule(read('model m versions=1', 'experts m quiet=18:00-20:00,20:00-21:00@+05:30'), 'm');
	t.equal(rule && quietHoursEnd(rule, at('2026-12-05T12:30Z')), at('2026-12-05T15:30Z'));
	t.equal(rule && quietHoursEnd(rule, at('2026-12-05T15:30Z')), undefined);
	t.end();
});

await t.test('fencing: the group comes before the zone, and no rule means ignored', t => {
	const rules = read('engines z fencing=checked', 'engines g fencing=ignored');
	t.equal(fencingModeOf(rules, {zone: 'z', group: 'g'}), 'ignored');
	t.equal(fencingModeOf(rules, {zone: 'z', group: 'h'}), 'checked');
	t.equal(fencingModeOf(rules, {zone: 'z'}), 'checked');
	t.equal(fencingModeOf(rules, {zone: 'y'}), 'ignored');
	t.end();
});

await t.test('differences name rule and author, and order does not count', t => {
	const before = read('zone a open', 'zone b closed # asked by B', 'model m versions=1');
	const after = read('model m versions=1,2 # asked by C: new version', 'zone a open', 'zone c open # asked by D');
	const diff = diffRules(before, after);
	t.same(diff.added.map(rule => formatRule(rule)), ['zone c open # asked by D']);
	t.same(diff.removed.map(rule => formatRule(rule)), ['zone b closed # asked by B']);
	t.same(diff.changed.map(change => [change.before.attribution.author, change.after.attribution.author]), [['A', 'C']]);
	t.ok(isEmptyDiff(diffRules(read('zone a open', 'zone b open'), read('zone b  open', '', 'zone a open'))));
	t.end();
});

// Guards against a drain that loses the operators' own comments.
await t.test('edits keep all other lines', t => {
	const text = '# head\r\n\r\nzone a open # asked by A';
	const [rule] = read('endpoint e closed # asked by B: disk').rules;
	const added = rule ? appendRule(text, rule) : '';
	t.equal(added, `${text}\nendpoint e closed # asked by B: disk\n`);
	t.equal(removeLines(added, [4]), `${text}\n`);
	t.end();
});
