import t from 'tap';
import {InputError} from '#core';
import {
	acceptHello, answerChallenge, verifyWelcome, createChallenge, encodeHandshake, PROTOCOL_VERSION, Session, type Message, type PeerIdentity,
} from '#protocol';

const KEY = 'a shared key for tests';
const identity = (id: string): PeerIdentity => ({
	id, role: 'entry', region: 'lk-west', zone: 'colombo-a', address: '127.0.0.1:1', incarnation: 'i1',
});
const load: [number, number, number, number, number, boolean] = [10, 2, 30.5, 40, 5, false];

function createPair() {
	const challenge = createChallenge();
	const {hello} = answerChallenge(encodeHandshake(challenge), KEY, identity('dialler'));
	return {
		dialled: Session.create(KEY, challenge, hello, 'dialled'),
		accepted: Session.create(KEY, challenge, hello, 'accepted'),
	};
}

const messages: readonly Message[] = [
	{
		kind: 'report', load, rulesVersion: 7, mapVersion: 3,
	},
	{
		kind: 'chunk', requestId: 'r1', attempt: 1, offset: 0, data: new Uint8Array([1, 2, 3]),
	},
	{
		kind: 'ask', id: 1, topic: 'claim', payload: {a: [1, 'x']},
	},
	{kind: 'leaving', leaving: true},
];

await t.test('messages are decoded unchanged and in order', async t => {
	const {dialled, accepted} = createPair();
	const received = accepted.decode(dialled.encode(messages));
	t.same(received.map(message => message.kind), messages.map(message => message.kind));
	t.same(received[0], messages[0]);
	t.same([...(received[1] as {data: Uint8Array}).data], [1, 2, 3]);
});

await t.test('an encoded load report stays small, so that 64 subscriptions fit the control traffic budget', async t => {
	const {dialled} = createPair();
	t.ok(dialled.encode(messages.slice(0, 1)).length <= 64);
});

await t.test('a replayed, out-of-order, modified or wrongly sized message is rejected', async t => {
	const cases: ReadonlyArray<{readonly name: string; readonly tamper: (data: Uint8Array, next: Uint8Array) => readonly Uint8Array[]}> = [
		{name: 'replayed', tamper: data => [data, data]},
		{name: 'previous message lost', tamper: (_data, next) => [next]},
		{
			name: 'one byte modified', tamper(data) {
				const changed = Uint8Array.from(data);
				changed[20] = 255 - (changed[20] ?? 0);
				return [changed];
			},
		},
		{name: 'too short', tamper: () => [new Uint8Array(4)]},
		{name: 'too large', tamper: () => [new Uint8Array(2_000_000)]},
	];
	for (const {name, tamper} of cases) {
		const {dialled, accepted} = createPair();
		const data = tamper(dialled.encode(messages), dialled.encode(messages));
		t.throws(() => {
			for (const part of data) {
				accepted.decode(part);
			}
		}, InputError, name);
	}
});

await t.test('a message that is reflected to its sender is rejected', async t => {
	const {dialled} = createPair();
	t.throws(() => dialled.decode(dialled.encode(messages)), InputError);
});

await t.test('a message that fails its schema is rejected', async t => {
	const {dialled, accepted} = createPair();
	const bad: unknown = {
		kind: 'chunk', requestId: '', attempt: -1, offset: 0, data: 'text',
	};
	t.throws(() => accepted.decode(dialled.encode([bad as Message])), InputError);
});

await t.test('a peer without the shared key is rejected by both sides', async t => {
	const challenge = createChallenge();
	const wrongKey = answerChallenge(encodeHandshake(challenge), 'another key', identity('x'));
	t.throws(() => acceptHello(encodeHandshake(wrongKey.hello), challenge, KEY, identity('server')), /wrong proof/u);
	const {hello} = answerChallenge(encodeHandshake(challenge), KEY, identity('x'));
	const {welcome} = acceptHello(encodeHandshake(hello), challenge, KEY, identity('server'));
	t.equal(verifyWelcome(encodeHandshake(welcome), challenge, hello, KEY).identity.id, 'server');
	t.throws(() => verifyWelcome(encodeHandshake({...welcome, identity: identity('another')}), challenge, hello, KEY), /wrong proof/u);
	t.throws(() => answerChallenge(encodeHandshake({...challenge, version: (PROTOCOL_VERSION + 1) as 1}), KEY, identity('x')), /version/u);
	t.throws(() => answerChallenge(new Uint8Array([0xC1]), KEY, identity('x')), InputError);
});
