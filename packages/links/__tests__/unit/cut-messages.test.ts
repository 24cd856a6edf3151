/** Guards against messages between processes that are cut and count as shorter ones. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {pack} from 'msgpackr';
import t from 'tap';
import {
	CuttingServer, forEachCut, type Cut, type CuttingServerOptions,
} from '#harness';
import {RequestClient} from '#links';

/** Appended to the key of a WebSocket handshake (RFC 6455, section 1.3). */
const HANDSHAKE_SUFFIX = '258EAFA5-E914-47DA-95CA-C5AB0DC85B11';
const ANSWER = {endpoints: ['e1', 'e2'], config: {version: 12}};

function acceptHandshake(req: string): string {
	const key = /sec-websocket-key: (\S+)/iu.exec(req)?.[1] ?? '';
	const accept = createHash('sha1').update(`${key}${HANDSHAKE_SUFFIX}`).digest('base64');
	return `HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: ${accept}\r\n\r\n`;
}

const payload = pack({id: 1, answer: ANSWER});
const fragments = [payload.subarray(0, 9), payload.subarray(9)] as const;
const frames = [
	{name: 'one frame', message: Buffer.from([0x82, payload.length, ...payload])},
	{name: 'two fragments', message: Buffer.from([0x02, fragments[0].length, ...fragments[0], 0x80, fragments[1].length, ...fragments[1]])},
];

async function requestCut(replies: CuttingServerOptions['replies'], cut: Cut): Promise<unknown> {
	const server = await CuttingServer.create({replies, cut});
	const client = RequestClient.create(server.address);
	const result = await client.request('q', 2000);
	client.close();
	server.close();
	return result;
}

const cases = [
	{name: 'handshake', replies: [acceptHandshake], length: acceptHandshake('').length},
	...frames.map(({name, message}) => ({name, replies: [acceptHandshake, message], length: message.length})),
];

for (const {name, replies, length} of cases) {
	void t.test(name, async t => {
		const wrong: unknown[] = [];
		await forEachCut('x'.repeat(length), async cut => {
			const result = await requestCut(replies, cut) as {readonly kind: string};
			if (result.kind !== 'failed') {
				wrong.push({...cut, result});
			}
		});
		t.same(wrong, []);
		if (replies.length > 1) {
			t.same(await requestCut(replies, {position: length, end: 'late-fin'}), {kind: 'ok', value: ANSWER}, 'not cut');
		}
	});
}
