import t from 'tap';
import {
	chooseReplica, explainChoice, hashHex, initHashing, isSuspected, PrefixCacheIndex, rendezvousOrder, RoutingTable, servesModel, subsetOf,
	type InstanceInfo, type LoadReport, type RouteRequest,
} from '#routing';

await initHashing();

function instance(id: string, zone = 'a', region = 'r'): InstanceInfo {
	return {
		id, zone, region, group: 'g', models: ['m@1'], address: id, leaving: false,
	};
}

const idle: LoadReport = {
	queuedTokens: 0, running: 10, tokensPerSecond: 2000, stepMs: 40, cachedPrefixes: 0, leaving: false,
};

const request: RouteRequest = {
	model: 'm', inputTokens: 400, outputTokens: 100, zone: 'a', region: 'r', prefixes: [], prefixLookup: {hints: [], homeHitRate: 0.5}, excluded: new Set(),
};

function tableOf(instances: readonly InstanceInfo[], loads: Readonly<Record<string, Partial<LoadReport>>> = {}, now = 0): RoutingTable {
	let table = RoutingTable.create().withInstances(instances, now).withSubset(new Set(instances.map(({id}) => id)), now);
	for (const {id} of instances) {
		table = table.withReport(id, {...idle, ...loads[id]}, now);
	}

	// Report again, so that the fleet statistics are updated with all loads.
	for (const {id} of instances) {
		table = table.withReport(id, {...idle, ...loads[id]}, now + 300);
	}

	return table;
}

function chosenId(table: RoutingTable, wanted: RouteRequest = request, now = 400, random = () => 0): string {
	const choice = chooseReplica(table, wanted, now, random);
	return choice.kind === 'chosen' ? choice.replica.id : choice.reason;
}

const x = instance('x');
const y = instance('y');
const costCases = [
	{name: 'a shorter queue', table: tableOf([x, y], {x: {queuedTokens: 4000}}), expected: 'y'},
	{name: 'a faster step at equal queues', table: tableOf([x, y], {x: {stepMs: 400, queuedTokens: 500}, y: {queuedTokens: 500}}), expected: 'y'},
	{name: 'the own zone at equal load', table: tableOf([instance('x', 'b'), y]), expected: 'y'},
	{name: 'a fuller batch over own unreported work', table: tableOf([x, y], {y: {running: 12}}).withDispatch('x', {inputTokens: 4000, outputTokens: 0}, 0, 350), expected: 'y'},
	{name: 'a replica that has not just refused work as full', table: tableOf([x, y], {y: {queuedTokens: 9000}}).withRefusal('x', 'endpoint-full', 350), expected: 'y'},
	{name: 'the own region while it is not overloaded', table: tableOf([instance('x', 'a', 'far'), y], {y: {queuedTokens: 200}}), expected: 'y'},
];
await t.test('each cost term influences the choice', t => {
	for (const {name, table, expected} of costCases) {
		t.equal(chosenId(table), expected, `prefers ${name}`);
	}

	t.end();
});

await t.test('a replica is suspected after 3 s without a message and then used only if there is no other', t => {
	const table = tableOf([x, y]).withContact('y', 3000);
	const suspected = table.get('x');
	t.equal(suspected !== undefined && isSuspected(suspected, 3400), true);
	t.equal(chosenId(table, request, 3400), 'y');
	t.equal(chosenId(table, {...request, excluded: new Set(['y'])}, 3400), 'x');
	const silent = RoutingTable.create().withInstances([x], 0).withDispatch('x', request, 0, 10).get('x');
	t.equal(silent !== undefined && isSuspected(silent, 3011), true, 'a replica without a subscription is suspected when work stays unanswered');
	t.end();
});

await t.test('a report with leaving: false withdraws a leaving message but does not override the instance list', t => {
	const table = tableOf([x]).withLeaving('x', 400);
	t.equal(chosenId(table), 'no-endpoint');
	t.equal(chosenId(table.withReport('x', idle, 500), request, 500), 'x');
	t.equal(chosenId(table.withLeaving('x', 500, false), request, 500), 'x', 'without a subscription a message withdraws it');
	t.equal(chosenId(table.withReport('x', idle, 500).withInstance({...x, leaving: true}, 600), request, 600), 'no-endpoint');
	t.equal(chosenId(table.withoutInstance('x', 600)), 'unknown-model');
	t.equal(chosenId(table, {...request, model: 'service:ledger'}), 'unknown-service');
	t.end();
});

await t.test('entries with identical outdated reports do not all choose the only idle replica', t => {
	const instances = Array.from({length: 20}, (_, index) => instance(`e${index}`));
	const loads = Object.fromEntries(instances.map(({id}) => [id, {queuedTokens: id === 'e7' ? 0 : 2000}]));
	const table = tableOf(instances, loads);
	let seed = 1;
	const random = () => {
		seed = (seed * 16_807) % 2_147_483_647;
		return seed / 2_147_483_647;
	};

	const hits = Array.from({length: 1000}, () => chosenId(table, request, 400, random)).filter(id => id === 'e7').length;
	t.ok(hits > 50 && hits < 200, `two random candidates of twenty include it in one of ten choices; chosen ${hits} of 1000 times`);
	t.end();
});

await t.test('all entries compute the same prefix home, and the next replica in order replaces an overloaded home', t => {
	const instances = Array.from({length: 10}, (_, index) => instance(`e${index}`));
	const prefixes = [{hash: hashHex('system'), tokens: 200}, {hash: hashHex('first'), tokens: 300}, {hash: hashHex('second'), tokens: 400}];
	const [home = '', next] = rendezvousOrder(hashHex('first'), instances.map(({id}) => id), 2);
	const affine = {...request, prefixes};
	t.equal(chosenId(tableOf(instances), affine, 400, () => 0.95), home);
	t.equal(chosenId(tableOf(instances, {[home]: {queuedTokens: 90_000, running: 90}}), affine, 400, () => 0.95), next);
	t.end();
});

await t.test('in a lightly loaded fleet a few running requests do not move a prompt away from its home', t => {
	const instances = Array.from({length: 10}, (_, index) => instance(`e${index}`));
	const prefixes = [{hash: hashHex('system'), tokens: 200}, {hash: hashHex('first'), tokens: 300}, {hash: hashHex('second'), tokens: 400}];
	const [home = ''] = rendezvousOrder(hashHex('first'), instances.map(({id}) => id), 1);
	const loads = Object.fromEntries(instances.map(({id}) => [id, {running: id === home ? 4 : 0}]));
	t.equal(chosenId(tableOf(instances, loads), {...request, prefixes}, 400, () => 0.95), home);
	t.end();
});

await t.test('the prefix cache index returns recorded replicas, removes work that did not run and stays within its bound', t => {
	const index = PrefixCacheIndex.create(3);
	const prefixes = [{hash: 'a', tokens: 10}, {hash: 'b', tokens: 300}];
	index.recordDispatch(prefixes, 'x', 0);
	t.same(index.lookup(prefixes, 1).hints, [{replicaId: 'x', cachedTokens: 300}]);
	t.equal(chosenId(tableOf([x, y], {x: {queuedTokens: 100}}), {...request, prefixes, prefixLookup: index.lookup(prefixes, 1)}), 'x');
	index.recordAccepted(prefixes, {source: 'prefix-memory', cachedTokens: 300}, 0);
	t.ok((index.lookup(prefixes, 1).hints[0]?.cachedTokens ?? 0) < 300, 'a cache miss lowers the accuracy of hints');
	index.recordNotRun(prefixes, 'x');
	t.same(index.lookup(prefixes, 1).hints, []);
	index.recordDispatch(['c', 'd', 'e', 'f'].map(hash => ({hash, tokens: 1})), 'x', 0);
	t.equal(index.size, 3);
	t.same(index.lookup([{hash: 'c', tokens: 1}], 1).hints, [], 'the least recently used prefix was evicted');
	t.end();
});

await t.test('an explanation lists every replica once, with its cost or the reason why it was not considered', t => {
	const instances = [x, y, instance('far', 'a', 'other'), {...instance('old'), models: ['k']}, {...instance('gone'), leaving: true}, instance('shut'), instance('tried')];
	const table = tableOf(instances).withClosed(new Set(['shut']));
	const choice = explainChoice(table, {...request, excluded: new Set(['tried'])}, 400, () => 0);
	t.same(new Map(choice.explanation.leftOut.map(({id, reason}) => [id, reason])), new Map([
		['far', 'far'], ['old', 'wrong-model'], ['gone', 'leaving'], ['shut', 'closed'], ['tried', 'excluded'],
	]));
	t.same(choice.explanation.candidates.map(({id}) => id).toSorted(), ['x', 'y']);
	t.end();
});

const modelCases: ReadonlyArray<readonly [string, string, boolean]> = [
	['m@1', 'm', true],
	['m@1', 'm@1', true],
	['m@1', 'm@2', false],
	['m@1+law', 'm', false],
	['m@1+law', 'm+law', true],
	['m', 'm@1', false],
	['service:m', 'm', false],
	['service:m', 'service:m', true],
];
await t.test('a replica serves a request if name, version and adapter match', t => {
	for (const [offered, wanted, expected] of modelCases) {
		t.equal(servesModel(offered, wanted), expected, `${offered} for ${wanted}`);
	}

	t.end();
});

await t.test('subsets are balanced and change little when an entry or endpoint joins or leaves', t => {
	const entries = Array.from({length: 34}, (_, index) => `entry-${index}`);
	const endpoints = Array.from({length: 160}, (_, index) => `endpoint-${index}`);
	const links = (entryIds: readonly string[], endpointIds: readonly string[]) =>
		new Set(entryIds.flatMap(id => subsetOf(id, entryIds, endpointIds, 20).map(endpoint => `${id} ${endpoint}`)));
	const before = links(entries, endpoints);
	const counts = endpoints.map(endpoint => [...before].filter(link => link.endsWith(` ${endpoint}`)).length);
	t.ok(Math.max(...counts) - Math.min(...counts) <= 1, `subscribers of an endpoint: ${Math.min(...counts)} to ${Math.max(...counts)}`);
	const changed = (after: ReadonlySet<string>) => [...before].filter(link => !after.has(link)).length;
	// A join moves about one subset (20) or one quota (4) of links; twice as many are allowed for rounding.
	t.ok(changed(links([...entries, 'entry-new'], endpoints)) <= 40);
	t.ok(changed(links(entries, [...endpoints, 'endpoint-new'])) <= 20);
	t.ok(changed(links(entries.slice(1), endpoints)) - 20 <= 40);
	t.same(subsetOf('e', ['e'], ['b', 'a'], 5), ['a', 'b']);
	t.end();
});

await t.test('removing an id from the rendezvous order moves only the keys of that id', t => {
	const ids = ['a', 'b', 'c', 'd', 'e'];
	for (let key = 0; key < 200; key++) {
		const [first = '', second] = rendezvousOrder(`k${key}`, ids, 2);
		t.equal(rendezvousOrder(`k${key}`, ids.filter(id => id !== first), 1)[0], second);
	}

	t.end();
});
