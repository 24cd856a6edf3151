import t from 'tap';
import {
	ConfigCache, elapsedMs, FleetConfig, pickService,
} from '#dispatch';

const limits = {maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1};
const route = (name: string, hostname: string, pathPrefix: string) => ({
	name, hostname, pathPrefix, kind: {kind: 'idempotent'} as const, shares: [], timeoutMs: 1, targetMs: 1, maxAttempts: 1, priority: 1, isPublic: true,
});
const config = (version: number) => FleetConfig.create({
	version, routes: [], workspaces: undefined, services: [], limits,
});
const at = (ms: number) => ({monotonicMs: ms, wallMs: ms});

void t.test('an age is the larger of both clocks', t => {
	const cases = [
		{name: 'calm', to: {monotonicMs: 100, wallMs: 100}, age: 100},
		{name: 'suspended: only the time of day went on', to: {monotonicMs: 100, wallMs: 4100}, age: 4100},
		{name: 'time of day stepped back', to: {monotonicMs: 100, wallMs: -2000}, age: 100},
		{name: 'time of day stepped ahead', to: {monotonicMs: 100, wallMs: 2100}, age: 2100},
	];
	for (const {name, to, age} of cases) {
		t.equal(elapsedMs(at(0), to), age, name);
	}

	t.end();
});

void t.test('offers', t => {
	const holder = ConfigCache.create();
	t.equal(holder.ageMs(at(5)), Number.POSITIVE_INFINITY, 'nothing known');
	const steps = [
		{
			version: 3, asOf: 100, offer: 'adopted', age: 900,
		},
		{
			version: 3, asOf: 400, offer: 'confirmed', age: 600,
		},
		{
			version: 3, asOf: 200, offer: 'confirmed', age: 600,
		},
		{
			version: 2, asOf: 900, offer: 'older', age: 600,
		},
		{
			version: 9, asOf: 500, offer: 'adopted', age: 500,
		},
	];
	for (const {version, asOf, offer, age} of steps) {
		t.equal(holder.update(config(version), at(asOf)), offer, `version ${version}`);
		t.equal(holder.ageMs(at(1000)), age);
	}

	t.equal(holder.confirm(3, at(999)), false, 'a version that is not the current one confirms nothing');
	t.equal(holder.ageMs(at(1000)), 500);
	t.equal(holder.confirm(9, at(999)), true);
	t.equal(holder.ageMs(at(1000)), 1);
	t.equal(holder.current?.version, 9);
	t.end();
});

void t.test('routes', t => {
	const fleet = FleetConfig.create({
		version: 1, routes: [route('short', 'H', '/a/'), route('long', 'h', '/a/b/'), route('other', 'g', '/')], workspaces: undefined, services: [], limits,
	});
	const cases = [
		['h', '/a/x', 'short'], ['h:80', '/a/b/x', 'long'], ['h', '/a/b', 'short'], ['h', '/a', undefined], ['H', '/a/?q=/a/b/', 'short'], ['g', '/anything', 'other'], ['x', '/a/', undefined],
	] as const;
	for (const [host, path, name] of cases) {
		t.equal(fleet.findRoute(host, path)?.name, name, `${host}${path}`);
	}

	t.end();
});

void t.test('shares', t => {
	const shares = [{service: 'a', weight: 90}, {service: 'none', weight: 0}, {service: 'b', weight: 10}];
	for (const [random, service] of [[0, 'a'], [0.89, 'a'], [0.9, 'b'], [0.999, 'b']] as const) {
		t.equal(pickService(shares, random), service);
	}

	t.equal(pickService([{service: 'a', weight: 0}], 0.5), undefined);
	t.end();
});
