import t, {type Test} from 'tap';
import {type Result} from '#core';
import {PlatformClient, type PlatformClientOptions} from '#platform';
import {PlatformServer, type PlatformServerOptions} from '#standins-platform';

async function start(t: Test, serverOptions: PlatformServerOptions = {}, clientOptions: Partial<PlatformClientOptions> = {}) {
	const server = await PlatformServer.create({key: 'secret', ...serverOptions});
	const client = PlatformClient.create({url: server.url, key: 'secret', ...clientOptions});
	t.teardown(async () => {
		await client.close();
		await server.close();
	});
	return {server, client};
}

/** The failure without its reason, which is free text; `done` for a success. */
function outcome(result: Result<unknown, {readonly kind: string; readonly effect?: string}>): string {
	if (result.kind === 'ok') {
		return 'done';
	}

	const {kind, effect} = result.failure;
	return effect === undefined ? kind : `${kind} ${effect}`;
}

await t.test('conditional calls report conflicts and missing objects apart', async t => {
	const {server, client} = await start(t);
	const created = await client.create('a/b c', {n: 1});
	t.match(created, {kind: 'ok', value: {name: 'a/b c', value: {n: 1}}});
	const version = created.kind === 'ok' ? created.value.resourceVersion : '';
	const cases: ReadonlyArray<readonly [string, Promise<Result<unknown, {kind: string}>>, string]> = [
		['create again', client.create('a/b c', 2), 'conflict'],
		['update of an old version', client.update('a/b c', '1', 2), 'conflict'],
		['update of no object', client.update('none', '1', 2), 'missing'],
		['read of no object', client.read('none'), 'missing'],
		['remove of an old version', client.remove('a/b c', '1'), 'conflict'],
		['value over 1 MB', client.update('a/b c', version, 'x'.repeat(1_000_001)), 'too-large'],
		['remove', client.remove('a/b c', version), 'done'],
	];
	for (const [name, call, expected] of cases) {
		t.equal(outcome(await call), expected, name);
	}

	t.match(await client.list('a/'), {kind: 'ok', value: {items: []}});
	t.equal(client.counts.update.sent, 3);
	t.equal(server.calls.update, 3, 'both sides count the same calls');
});
