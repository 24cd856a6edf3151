import t from 'tap';
import {BufferedOutput, Metrics} from '#telemetry';

await t.test('log lines are written in batches, in order, and a flush loses none', t => {
	const written: string[] = [];
	const output = BufferedOutput.create(text => {
		written.push(text);
	});
	output.write('first\n');
	output.write('second\n');
	t.same(written, [], 'lines are not written individually');
	output.flush();
	output.flush();
	t.same(written, ['first\nsecond\n']);
	output.write(`${'x'.repeat(70_000)}\n`);
	t.equal(written.length, 2, 'a large amount is written immediately');
	t.end();
});

await t.test('each reason has a separate counter, and latencies are exposed as quantiles', async t => {
	const metrics = Metrics.create();
	metrics.count('refusals', 'over-limit');
	metrics.count('refusals', 'over-limit');
	metrics.count('retries', 'leaving');
	metrics.recordLatency('total', 12.5);
	metrics.registerGauge('open', 'Open things.', () => 3);
	const text = await metrics.expose();
	for (const line of [
		'mimosamount_refusals_total{reason="over-limit"} 2',
		'mimosamount_retries_total{reason="leaving"} 1',
		'mimosamount_open 3',
		'mimosamount_total_seconds_count 1',
	]) {
		t.ok(text.split('\n').includes(line), line);
	}

	t.match(text, /mimosamount_total_seconds\{quantile="0.5"\} 0\.0125/u);
	t.equal(await metrics.counterValue('refusals', 'over-limit'), 2);
	t.equal(await metrics.counterValue('refusals', 'deadline'), 0);
});
