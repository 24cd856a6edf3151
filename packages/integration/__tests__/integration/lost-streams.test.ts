/** Guards against streams that lose, double or mix tokens when an endpoint is lost. */
import {Buffer} from 'node:buffer';
import t, {type Test} from 'tap';
import {
	errorOf, isCompleteStream, type EndpointNode, type CallerResponse,
} from '#harness';
import {
	readGeneratedBytes, startFleet, stopFleet, type RunningFleet,
} from '#integration';

type Fault = {
	readonly name: string;
	readonly engines: number;
	/** Applied to the endpoint that runs the stream, once some bytes arrived. */
	readonly apply: (running: RunningFleet, node: EndpointNode) => Promise<void>;
	/** The caller must get its whole answer; otherwise a clear error is allowed too. */
	readonly whole: boolean;
};

const faults: readonly Fault[] = [
	{
		name: 'endpoint process killed and started again beside a living engine',
		engines: 1,
		whole: true,
		async apply({fleet}, node) {
			await node.daemon.kill();
			await fleet.restartEndpoint(node);
		},
	},
	{
		name: 'endpoint process killed, another replica takes over',
		engines: 2,
		whole: true,
		async apply(_running, node) {
			await node.daemon.kill();
		},
	},
	{
		name: 'engine killed, another replica takes over',
		engines: 2,
		whole: true,
		async apply(_running, node) {
			await node.backend.kill();
		},
	},
	{
		name: 'endpoint process paused, then woken',
		engines: 2,
		whole: true,
		async apply(_running, node) {
			node.daemon.signal('SIGSTOP');
			setTimeout(() => {
				node.daemon.signal('SIGCONT');
			}, 13_000);
		},
	},
	{
		name: 'engine stalled for good',
		engines: 2,
		whole: true,
		async apply({fleet}, node) {
			await fleet.setFaults(node.backendUrl, {stallMs: 600_000});
		},
	},
];

/** A prefix of the bytes that were made, and either all of them or a clear error behind it. */
function check(t: Test, received: CallerResponse, made: Uint8Array, fault: Fault): void {
	const error = errorOf(received);
	if (isCompleteStream(received)) {
		t.equal(received.text, Buffer.from(made).toString(), 'every byte, once');
		return;
	}

	t.notOk(fault.whole, `${fault.name}: a whole answer was possible, got ${JSON.stringify(error)}`);
	t.match(error, {code: 'stream-lost', outcome: 'unknown'});
	const end = received.text.lastIndexOf('\n\ndata: {"error"');
	t.ok(Buffer.from(made).toString().startsWith(received.text.slice(0, end)), 'what was delivered is a prefix of the answer');
}

for (const fault of faults) {
	await t.test(fault.name, async t => {
		const engines = Array.from({length: fault.engines}, () => ({args: ['--step-ms', '20', '--hold-ms', '60000']}));
		const running = await startFleet({entries: 1, engines});
		const {fleet, caller} = running;
		const entry = fleet.entries[0]!;
		let applied: Promise<void> | undefined;
		let ran: EndpointNode | undefined;
		let length = 0;
		const onData = async (bytes: Uint8Array) => {
			length += bytes.length;
			if (length > 2000 && applied === undefined) {
				const status = await fleet.readStatus(entry);
				const busy = status.machines.find(({load}) => (load?.running ?? 0) > 0)?.id;
				ran = fleet.endpoints.find(({id}) => id === busy) ?? fleet.endpoints[0]!;
				applied = fault.apply(running, ran);
			}
		};

		const received = await caller.chat(entry, {
			prompt: 'a long notice', stream: true, maxTokens: 150, onData,
		});
		await applied;
		t.ok(applied, 'the fault was applied');
		const others = fleet.endpoints.filter(({backend}) => backend.running);
		const made = await Promise.all(others.map(async node => readGeneratedBytes(fleet, node, received.requestId)));
		const [longest] = made.filter(bytes => bytes !== undefined).toSorted((a, b) => b.length - a.length);
		check(t, received, longest ?? new Uint8Array(), fault);
		await stopFleet(running);
	});
}
