import t from 'tap';
import {TokenBucket, WeightsServer} from '#standins-weights';

await t.test('the token bucket allows a burst, then the sustained rate', t => {
	const bucket = TokenBucket.create(10, 2);
	t.same([0, 0, 0, 50, 100].map(now => bucket.take(now)), [0, 0, 100, 50, 0]);
	t.end();
});

await t.test('a request over the rate gets 429 with retry-after and is not counted as served', async t => {
	const server = await WeightsServer.create({perSecond: 0.001, burst: 1, expertBytes: 64});
	t.teardown(async () => server.close());
	const first = await fetch(`${server.url}/v1/weights/drafting/experts/0/7`);
	t.equal(first.headers.get('content-length'), '64');
	const second = await fetch(`${server.url}/v1/weights/drafting/experts/0/7`);
	t.equal(second.status, 429);
	t.ok(Number(second.headers.get('retry-after')) >= 1);
	const invalid = await fetch(`${server.url}/v1/weights/drafting/experts/x/7`);
	t.equal(invalid.status, 400);
	t.same(server.counts(), {served: 1, limited: 1, byExpert: {'drafting/0/7': 1}});
});
