/** How the body of a response is delimited. */
import t from 'tap';
import {bodyFramingOf, type BodyFraming} from '#core';

const cases: ReadonlyArray<{readonly headers: Parameters<typeof bodyFramingOf>[0]; readonly framing: BodyFraming}> = [
	{headers: {}, framing: 'unframed'},
	{headers: {'content-length': '0'}, framing: 'framed'},
	{headers: {'transfer-encoding': 'Chunked'}, framing: 'framed'},
	{headers: {'transfer-encoding': ''}, framing: 'unframed'},
	{headers: {'transfer-encoding': 'identity', 'content-length': '3'}, framing: 'unframed'},
	{headers: {'transfer-encoding': 'gzip'}, framing: 'unsupported'},
	{headers: {'transfer-encoding': 'gzip, chunked'}, framing: 'unsupported'},
	{headers: {'transfer-encoding': 'chunked, identity'}, framing: 'unsupported'},
	{headers: {'transfer-encoding': ['chunked', 'chunked']}, framing: 'unsupported'},
];

for (const {headers, framing} of cases) {
	void t.test(JSON.stringify(headers), async t => {
		t.equal(bodyFramingOf(headers), framing);
	});
}
