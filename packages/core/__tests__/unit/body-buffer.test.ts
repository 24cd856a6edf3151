/** Bodies are copied completely, whatever their chunks; guards against bytes that are lost, or shared between bodies by the pool. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {BodyBuffer, PiecePool} from '#core';

const cases = [
	{name: 'nothing', sizes: []},
	{name: 'chunks of one byte', sizes: Array.from({length: 3000}, () => 1)},
	{name: 'one chunk', sizes: [100]},
	{name: 'one piece of the largest size', sizes: [64 * 1024]},
	{name: 'large chunks', sizes: [65_536, 65_535, 1, 200_000]},
] as const;

for (const {name, sizes} of cases) {
	for (const isAnnounced of [false, true]) {
		void t.test(`${name}, ${isAnnounced ? 'announced' : 'not announced'}`, t => {
			const pool = PiecePool.create();
			const read = (fill: number) => {
				const chunks = sizes.map((size, i) => Buffer.alloc(size, fill + i));
				const whole = Buffer.concat(chunks);
				const buffer = BodyBuffer.create(isAnnounced ? whole.length : undefined, pool);
				const reserved: number[] = [0];
				const reserve = (capacity: number) => reserved.push(capacity) > 0;
				t.ok(chunks.every(chunk => buffer.append(chunk, reserve)));
				t.ok(reserved.at(-1)! >= whole.length && reserved.at(-1)! <= (2 * whole.length) + 65_536);
				return {whole, body: buffer.take()};
			};

			const first = read(1);
			const second = read(7);
			t.ok(first.whole.equals(first.body), 'the first body is unchanged after the second');
			t.ok(second.whole.equals(second.body));
			t.end();
		});
	}
}

void t.test('nothing is kept without memory', t => {
	const buffer = BodyBuffer.create(undefined, PiecePool.create());
	t.notOk(buffer.append(Buffer.from('x'), () => false));
	t.equal(buffer.bytes, 0);
	t.end();
});
