/** Which connection is closed when there are too many; guards against one whose messages are still handled. */
import {Socket} from 'node:net';
import t from 'tap';
import {MessageBound} from '../../src/message-bound.js';

const MEMORY_BYTES = 250 * 1024 * 1024;

const onError = (error: unknown) => {
	t.fail(String(error));
};

const source = {pause: () => undefined, resume: () => undefined};

/** What happens on the connection that is used least recently, before there are too many. */
type Step = 'chunk' | 'complete' | 'handled';

const cases: ReadonlyArray<{readonly name: string; readonly steps: readonly Step[]; readonly isClosed: boolean}> = [
	{name: 'without a message', steps: [], isClosed: true},
	{name: 'part of a message', steps: ['chunk'], isClosed: false},
	{name: 'a message that is handled', steps: ['chunk', 'complete'], isClosed: false},
	{name: 'a message that was handled', steps: ['chunk', 'complete', 'handled'], isClosed: true},
	{name: 'one of two messages was handled', steps: ['chunk', 'complete', 'chunk', 'complete', 'handled'], isClosed: false},
	{name: 'a message that is handled and part of another one', steps: ['chunk', 'complete', 'chunk'], isClosed: false},
	{name: 'a message that was handled and part of another one', steps: ['chunk', 'complete', 'chunk', 'handled'], isClosed: false},
	{name: 'both messages were handled', steps: ['chunk', 'complete', 'chunk', 'complete', 'handled', 'handled'], isClosed: true},
];

for (const {name, steps, isClosed} of cases) {
	void t.test(name, t => {
		const stop = new AbortController();
		t.teardown(() => {
			stop.abort();
		});
		const bound = MessageBound.create({
			memoryBytes: MEMORY_BYTES, maxConnections: 2, now: () => 0, onError,
		}, stop.signal);
		const [used, idle, added] = [new Socket(), new Socket(), new Socket()];
		bound.addConnection(used);
		const messages = bound.countMessages(used, source);
		const handled: Array<() => void> = [];
		for (const step of steps) {
			switch (step) {
				case 'chunk': {
					used.emit('data', new Uint8Array(100));
					break;
				}

				case 'complete': {
					handled.push(messages.completeMessage());
					break;
				}

				case 'handled': {
					handled.shift()?.();
				}
			}
		}

		bound.addConnection(idle);
		bound.addConnection(added);
		t.equal(used.destroyed, isClosed);
		t.equal(idle.destroyed, !isClosed);
		t.notOk(added.destroyed);
		t.end();
	});
}

void t.test('further messages wait for a later turn, and are read on', async t => {
	const stop = new AbortController();
	t.teardown(() => {
		stop.abort();
	});
	const bound = MessageBound.create({
		memoryBytes: MEMORY_BYTES, maxConnections: 100, now: () => 0, onError,
	}, stop.signal);
	const paused = new Set<number>();
	const sockets = Array.from({length: 12}, (_, i) => {
		const socket = new Socket();
		bound.countMessages(socket, {
			pause() {
				paused.add(i);
			},
			resume() {
				paused.delete(i);
			},
		});
		return socket;
	});
	for (const socket of sockets) {
		socket.emit('data', new Uint8Array(64 * 1024));
	}

	t.ok(paused.size > 0 && paused.size < sockets.length, `${paused.size} wait`);
	for (const _ of sockets) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.equal(paused.size, 0, 'all are read on');
	t.notOk(sockets.some(({destroyed}) => destroyed));
});
