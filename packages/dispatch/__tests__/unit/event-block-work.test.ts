/** Checking an event takes no call for each of its lines; guards against events of many short lines, up to 350,000 in one of 1 MiB, that take the processor. */
import {Buffer} from 'node:buffer';
import t from 'tap';
import {EventSplitter} from '#dispatch';

const LINES = 100_000;

/** Matches of regular expressions that are permitted for an event, whatever its lines. */
const MAX_MATCHES = 10;

const cases = [
	{name: 'fields', line: 'a:\n'},
	{name: 'comments', line: ':\n'},
	{name: 'fields without a value', line: 'data\r\n'},
	{name: 'ids that are no numbers', line: 'id:1x1\n'},
] as const;

for (const {name, line} of cases) {
	void t.test(name, t => {
		const event = Buffer.from(`${line.repeat(LINES)}id: 7\n\n`);
		let matches = 0;
		const exec = Reflect.get(RegExp.prototype, 'exec');
		Reflect.defineProperty(RegExp.prototype, 'exec', {
			configurable: true,
			writable: true,
			value(this: RegExp, text: string) {
				matches += 1;
				return exec.call(this, text);
			},
		});
		const splitter = EventSplitter.create();
		const {count, fault} = splitter.push(event);
		Reflect.defineProperty(RegExp.prototype, 'exec', {configurable: true, writable: true, value: exec});
		t.match({count, fault, lastId: splitter.lastId}, {count: 1, fault: undefined, lastId: 7});
		t.ok(matches <= MAX_MATCHES, `${matches} matches for ${LINES} lines`);
		t.end();
	});
}
