/** An address that cannot be connected to fails the attempt alone; guards against an entry that ends when it picks such an endpoint. */
import t from 'tap';
import {
	callRaw, FakeEndpoint, FakeRegistry, response, startGateway, testConfig, testRoute,
} from '../gateway-harness.js';
import type {RouteKind} from '#dispatch';
import {AgentGroupProbe} from '#rankagent';

const kinds: readonly RouteKind[] = [{kind: 'idempotent'}, {kind: 'at-most-once'}];
const addresses = ['127.0.0.1:81200', '300.0.0.1:80', '...:1', '127.0.0.1:0'];

for (const address of addresses) {
	for (const kind of kinds) {
		void t.test(`${address}, ${kind.kind}`, async t => {
			const endpoint = await FakeEndpoint.create(t, 'e1', (socket, {id}) => {
				socket.write(response(id, 'whole'));
			});
			const unusable = {...endpoint.record(), id: 'e2', address};
			const {port} = await startGateway(t, FakeRegistry.create(testConfig([testRoute({kind})]), [endpoint.record(), unusable]));
			for (let i = 0; i < 12; i += 1) {
				const {text} = await callRaw(port, `POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q${i}\r\nContent-Length: 0\r\n\r\n`, 800, 'whole');
				t.match(text, /^HTTP\/1\.1 200 /u);
			}
		});
	}
}

void t.test('the agent at an unusable address does not respond', async t => {
	for (const host of ['300.0.0.1', '...', '']) {
		t.equal(await AgentGroupProbe.create(81_200).isRunning(host), undefined, host);
	}
});
