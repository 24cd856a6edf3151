/** The events of a stream don't depend on how its bytes are cut into chunks. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {EventSplitter} from '#dispatch';

const streams = [
	{name: 'line feeds', text: 'id: 1\ndata: a\n\n: comment\n\nid: 2\ndata: bb\ndata: c\n\n'},
	{name: 'carriage returns and line feeds', text: 'id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: bb\r\n\r\n'},
] as const;

for (const {name, text} of streams) {
	for (const size of [1, 2, 3, 5, 8, 13, text.length]) {
		void t.test(`${name}, chunks of ${size} bytes`, t => {
			const splitter = EventSplitter.create(undefined, true);
			const data = Buffer.from(`${text}id: 3\ndata`);
			let forwarded = '';
			let count = 0;
			for (let at = 0; at < data.length; at += size) {
				const result = splitter.push(data.subarray(at, at + size));
				t.equal(result.fault, undefined);
				forwarded += Buffer.from(result.bytes).toString();
				count += result.count;
			}

			t.equal(forwarded, text);
			t.equal(count, 2);
			t.equal(splitter.pendingBytes, 'id: 3\ndata'.length);
			t.end();
		});
	}
}
