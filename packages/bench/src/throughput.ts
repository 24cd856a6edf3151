/** Part of the benchmark that measures processor and memory use of one entry with 700 open streams and 10,000 tokens/s. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setInterval as every} from 'node:timers/promises';
import {BenchFleet, type ProcessUsage} from './fleet.js';
import type {BenchContext, BenchPart, BenchResult} from './part.js';
import {
	runLoad, type DurationSummary, type LoadRecorder, type LoadReport,
} from '#load';

/** At the fleet's peak load, one entry has 670 open streams and 10,000 tokens/s (design page, section 1.5). */
const OPEN_STREAMS = 700;
const MIN_TOKENS_PER_SECOND = 10_000;

/** Time between tokens; below the target of 67 ms, because an endpoint gives fewer requests to an engine with longer steps. */
const STEP_MS = 60;
const STREAM_SECONDS = 25;
const STREAM_TOKENS = Math.round(STREAM_SECONDS * 1000 / STEP_MS);
const STREAMS_PER_SECOND = OPEN_STREAMS / STREAM_SECONDS;

/** The number of replicas in both deployments; the initial limit of an endpoint is 64 concurrent requests, and 700 streams need 58 on each. */
const ENGINES = 12;
const RAMP_SECONDS = STREAM_SECONDS;
const STEADY_SECONDS = 30;
const SAMPLE_MS = 1000;

/** State of the run at one time; taken once per second. */
type Sample = {
	readonly second: number;
	readonly open: number;
	readonly tokens: number;
	readonly entry: ProcessUsage;
	readonly endpoints: ProcessUsage;
	readonly loadCpuMs: number;
};

/** Rates and resource use between two samples. */
type Interval = {
	readonly second: number;
	readonly open: number;
	readonly tokensPerSecond: number;
	readonly entryCpuPercent: number;
	readonly entryRssMb: number;
	readonly endpointsCpuPercent: number;
	readonly loadCpuPercent: number;
};

async function sampleUntil(signal: AbortSignal, takeSample: () => Sample, samples: Sample[]): Promise<void> {
	try {
		for await (const _ of every(SAMPLE_MS, undefined, {signal})) {
			samples.push(takeSample());
		}
	} catch (error) {
		if (!signal.aborted) {
			throw error;
		}
	}
}

function toIntervals(samples: readonly Sample[]): readonly Interval[] {
	return samples.slice(1).map((sample, index) => {
		const before = samples[index] ?? sample;
		const seconds = sample.second - before.second;
		const percent = (later: number, earlier: number): number => (later - earlier) / (seconds * 10);
		return {
			second: sample.second,
			open: sample.open,
			tokensPerSecond: (sample.tokens - before.tokens) / seconds,
			entryCpuPercent: percent(sample.entry.cpuMs, before.entry.cpuMs),
			entryRssMb: sample.entry.rssBytes / 1024 / 1024,
			endpointsCpuPercent: percent(sample.endpoints.cpuMs, before.endpoints.cpuMs),
			loadCpuPercent: percent(sample.loadCpuMs, before.loadCpuMs),
		};
	});
}

function summarizeSteady(intervals: readonly Interval[]): ReadonlyArray<readonly string[]> {
	const steady = intervals.filter(({second}) => second > RAMP_SECONDS && second <= RAMP_SECONDS + STEADY_SECONDS);
	const row = (name: string, unit: string, read: (interval: Interval) => number): readonly string[] => {
		const values = steady.map(interval => read(interval));
		const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
		return [name, unit, mean.toFixed(1), Math.max(...values).toFixed(1)];
	};

	return [
		row('open streams', '', interval => interval.open),
		row('tokens received', '/s', interval => interval.tokensPerSecond),
		row('entry, processor', '% of a core', interval => interval.entryCpuPercent),
		row('entry, resident memory', 'MB', interval => interval.entryRssMb),
		row(`${ENGINES} endpoints, processor`, '% of a core', interval => interval.endpointsCpuPercent),
		row('load generator, processor', '% of a core', interval => interval.loadCpuPercent),
	];
}

function durationRow(name: string, {p50, p95, p99, max}: DurationSummary): readonly string[] {
	return [name, ...[p50, p95, p99, max].map(ms => ms.toFixed(1))];
}

function buildResult(report: LoadReport, intervals: readonly Interval[], note: string): BenchResult {
	const points = (read: (interval: Interval) => number): ReadonlyArray<readonly [number, number]> => intervals.map(interval => [interval.second, read(interval)]);
	const outcomes = Object.entries(report.outcomes).map(([name, calls]) => `${name}: ${calls}`).join(', ');
	const steadyEnd = RAMP_SECONDS + STEADY_SECONDS;
	return {
		title: `Throughput: ${OPEN_STREAMS} open streams through one entry`,
		notes: [
			`Open loop with ${STREAMS_PER_SECOND} streams/s of ${STREAM_TOKENS} tokens over ${ENGINES} stand-in engines with steps of ${STEP_MS} ms; `
			+ `${RAMP_SECONDS} s to fill up, then ${STEADY_SECONDS} s measured.`,
			`Outcomes: ${outcomes}; wrong answers: ${report.wrong}; generator lag up to ${report.generatorLagMs.toFixed(0)} ms.`,
		],
		tables: [
			{title: `Seconds ${RAMP_SECONDS} to ${steadyEnd}`, columns: ['measure', 'unit', 'mean', 'max'], rows: summarizeSteady(intervals)},
			{
				title: 'Latency in milliseconds',
				columns: ['measure', 'p50', 'p95', 'p99', 'max'],
				rows: [durationRow('first byte', report.firstByteMs), durationRow('between tokens', report.betweenTokensMs)],
			},
		],
		charts: {
			'throughput-streams': {
				kind: 'line',
				title: 'Open streams and tokens through one entry',
				xLabel: 'seconds',
				yLabel: 'count',
				note,
				series: [
					{name: 'open streams', points: points(interval => interval.open)},
					{name: 'tokens/s', points: points(interval => interval.tokensPerSecond)},
				],
			},
			'throughput-usage': {
				kind: 'line',
				title: 'Use of the entry',
				xLabel: 'seconds',
				yLabel: '% of a core, MB',
				note,
				series: [
					{name: 'processor, % of a core', points: points(interval => interval.entryCpuPercent)},
					{name: 'resident memory, MB', points: points(interval => interval.entryRssMb)},
				],
			},
		},
		raw: {report, intervals},
	};
}

async function runThroughput({log, note}: BenchContext): Promise<BenchResult> {
	const fleet = await BenchFleet.create({engines: ENGINES, engineArgs: ['--step-ms', String(STEP_MS), '--max-running', '512', '--max-queued', '2000']});
	const sampling = new AbortController();
	const samples: Sample[] = [];
	let currentRecorder: LoadRecorder | undefined;
	try {
		const startedAt = performance.now();
		const samplingDone = sampleUntil(sampling.signal, () => {
			const {user, system} = process.cpuUsage();
			return {
				second: (performance.now() - startedAt) / 1000,
				open: (currentRecorder?.sent ?? 0) - (currentRecorder?.ended ?? 0),
				tokens: currentRecorder?.tokensReceived ?? 0,
				entry: fleet.entryUsage(),
				endpoints: fleet.endpointUsage(),
				loadCpuMs: (user + system) / 1000,
			};
		}, samples);
		const report = await runLoad({
			urls: [fleet.entryUrl],
			workspaces: [fleet.workspace],
			rate: STREAMS_PER_SECOND,
			count: Infinity,
			durationMs: (RAMP_SECONDS + STEADY_SECONDS) * 1000,
			streamShare: 1,
			minTokens: STREAM_TOKENS,
			maxTokens: STREAM_TOKENS,
			onProgress(recorder, elapsedMs) {
				currentRecorder = recorder;
				if (Math.round(elapsedMs / 1000) % 10 === 0) {
					log(`throughput: ${(elapsedMs / 1000).toFixed(0)} s, ${recorder.sent - recorder.ended} open, ${recorder.ok} ok, ${recorder.wrong} wrong`);
				}
			},
		});
		sampling.abort();
		await samplingDone;
		return buildResult(report, toIntervals(samples), note);
	} finally {
		sampling.abort();
		await fleet.close();
	}
}

export const throughputPart: BenchPart = {
	name: 'throughput',
	description: `${OPEN_STREAMS} open streams and at least ${MIN_TOKENS_PER_SECOND} tokens/s through one entry`,
	run: runThroughput,
};
