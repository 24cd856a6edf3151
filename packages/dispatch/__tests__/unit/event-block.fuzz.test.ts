/** Blocks of lines are read as by regular expressions on each line; guards against events that count as malformed, and the other way round. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import t from 'tap';
import {parseBlock, type Block} from '../../src/event-block.js';

const ID_FIELD = /^id: ?(\d+)$/u;
const FIELD_LINE = /^(?:[\w-]+:|(?:data|event|id|retry)$)/u;

function parseByLines(text: string): Block {
	const lines = text.split(/\r?\n/u).filter(line => line !== '' && !line.startsWith(':'));
	if (lines.length === 0) {
		return {kind: 'comment'};
	}

	if (!lines.every(line => FIELD_LINE.test(line))) {
		return {kind: 'malformed'};
	}

	const digits = lines.map(line => ID_FIELD.exec(line)?.[1]).find(match => match !== undefined);
	return {kind: 'event', id: digits === undefined ? undefined : Number(digits)};
}

const part = fc.constantFrom('id', ': ', ':', ' ', '1', '23', 'data', 'event', 'retry', 'a-b_9', 'é', '\r', '\n', '\r\n', '\n', 'HTTP/1.1 200', '\u0000');

void t.test('all blocks', t => {
	fc.assert(fc.property(fc.array(part, {maxLength: 24}), parts => {
		const text = `${parts.join('')}\n\n`;
		t.same(parseBlock(Buffer.from(text, 'latin1')), parseByLines(text), JSON.stringify(text));
	}), {seed: 55, numRuns: 3000});
	t.end();
});
