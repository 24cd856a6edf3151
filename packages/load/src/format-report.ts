import type {DurationSummary, LoadReport} from './load-recorder.js';
import {renderTextTable} from '#reports';

function formatDurationRow(name: string, summary: DurationSummary): readonly string[] {
	const {count, mean, p50, p90, p95, p99, max} = summary;
	return [name, String(count), ...[mean, p50, p90, p95, p99, max].map(ms => ms.toFixed(1))];
}

/** Renders a report as text tables. */
export function formatLoadReport(report: LoadReport): string {
	const durations = renderTextTable({
		columns: ['milliseconds', 'count', 'mean', 'p50', 'p90', 'p95', 'p99', 'max'],
		rows: [
			formatDurationRow('first byte of streams', report.firstByteMs),
			formatDurationRow('between tokens', report.betweenTokensMs),
			formatDurationRow('total, streams', report.totalMs.stream),
			formatDurationRow('total, whole answers', report.totalMs.whole),
			formatDurationRow('total, bookings', report.totalMs.booking),
		],
	});
	const outcomes = renderTextTable({
		columns: ['outcome', 'calls'],
		rows: Object.entries(report.outcomes).map(([name, count]) => [name, String(count)]),
	});
	const workspaces = renderTextTable({
		columns: ['workspace', 'sent', 'ok'],
		rows: Object.entries(report.workspaces).map(([name, {sent, ok}]) => [name, String(sent), String(ok)]),
	});
	const seconds = (report.elapsedMs / 1000).toFixed(1);
	const summary = `${report.ended} of ${report.sent} calls ended in ${seconds} s: ${report.okPerSecond.toFixed(1)} correct answers/s, `
		+ `${report.tokensPerSecond.toFixed(0)} tokens/s, ${report.wrong} wrong; generator lag up to ${report.generatorLagMs.toFixed(1)} ms`;
	return [summary, outcomes, workspaces, durations].join('\n\n');
}
