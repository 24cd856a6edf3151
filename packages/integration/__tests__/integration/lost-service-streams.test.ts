/** Guards against streams of a plain service in which the pieces of two runs are joined. */
import t from 'tap';
import {errorOf, waitUntil, type EndpointNode} from '#harness';
import {startFleet, stopFleet} from '#integration';

void t.test('the endpoint process of a service killed while it streams', async t => {
	const running = await startFleet({services: [{service: 'ledger'}, {service: 'ledger'}]});
	const {fleet, caller} = running;
	t.teardown(async () => stopFleet(running));
	const entry = fleet.entries[0]!;
	let serving: EndpointNode | undefined;
	const received = await caller.send(entry, {
		method: 'GET',
		path: '/services/ledger/bookings/events',
		options: {
			async onData() {
				if (serving === undefined) {
					await waitUntil('the endpoint that streams reports it', async () => {
						const {machines} = await fleet.readStatus(entry);
						const busy = machines.find(({load}) => (load?.running ?? 0) > 0)?.id;
						serving = fleet.endpoints.find(({id}) => id === busy);
						return serving !== undefined;
					});
					await serving!.daemon.kill();
				}
			},
		},
	});
	t.equal(received.text.split('data: 1\n').length - 1, 1, 'pieces of two runs are not joined');
	t.match(errorOf(received), {code: 'stream-lost', outcome: 'unknown'});
	await waitUntil('the log tells the reason', async () => entry.daemon.output.some(line => line.includes('answer cut off') && line.includes(received.requestId) && line.includes('stream-lost')));
});
