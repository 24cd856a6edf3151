/**
 * Part of the benchmark that measures proxy overhead: the latency and processor time that entry and endpoint add per
 * request and per token, compared with the same requests sent directly to the same engine.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {BenchFleet} from './fleet.js';
import type {BenchContext, BenchPart, BenchResult} from './part.js';
import {runLoad, type LoadReport, type PlanOptions} from '#load';

/** Rounds of each route; the routes alternate, so that a change in the machine's load affects both. */
const ROUNDS = 3;

/** Duration of the measurement of the idle daemons' processor use, in milliseconds. */
const IDLE_MS = 5000;

/** Calls in one round. */
const WHOLE_CALLS = 400;
const STREAM_CALLS = 100;
const STREAM_TOKENS = 100;

const ENGINE_ARGS = ['--step-ms', '5', '--max-running', '256'];

type Route = 'direct' | 'through';

/** One round of one kind of call on one route. */
type Round = {
	readonly way: Route;
	readonly kind: 'whole' | 'stream';
	readonly report: LoadReport;
	/** Processor time of entry and endpoint in excess of their idle use, in milliseconds. */
	readonly entryCpuMs: number;
	readonly endpointCpuMs: number;
};

type IdleUsage = {readonly entry: number; readonly endpoint: number};

const PLANS: Readonly<Record<Round['kind'], Partial<PlanOptions>>> = {
	whole: {
		rate: 40, count: WHOLE_CALLS, streamShare: 0, minTokens: 1, maxTokens: 1, promptChars: 400,
	},
	stream: {
		rate: 20, count: STREAM_CALLS, streamShare: 1, minTokens: STREAM_TOKENS, maxTokens: STREAM_TOKENS, promptChars: 400,
	},
};

/** Measures the processor use of the idle daemons, in milliseconds per second. */
async function measureIdle(fleet: BenchFleet): Promise<IdleUsage> {
	const before = {entry: fleet.entryUsage().cpuMs, endpoint: fleet.endpointUsage().cpuMs};
	await sleep(IDLE_MS);
	const seconds = IDLE_MS / 1000;
	return {
		entry: (fleet.entryUsage().cpuMs - before.entry) / seconds,
		endpoint: (fleet.endpointUsage().cpuMs - before.endpoint) / seconds,
	};
}

async function runRound(fleet: BenchFleet, way: Route, kind: Round['kind'], idle: IdleUsage): Promise<Round> {
	const urls = way === 'direct' ? fleet.engineUrls : [fleet.entryUrl];
	const before = {entry: fleet.entryUsage().cpuMs, endpoint: fleet.endpointUsage().cpuMs};
	const report = await runLoad({...PLANS[kind], urls, workspaces: [fleet.workspace]});
	const seconds = report.elapsedMs / 1000;
	return {
		way,
		kind,
		report,
		entryCpuMs: fleet.entryUsage().cpuMs - before.entry - (idle.entry * seconds),
		endpointCpuMs: fleet.endpointUsage().cpuMs - before.endpoint - (idle.endpoint * seconds),
	};
}

/** Median; NaN if there are no values. */
export function median(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = Math.floor(sorted.length / 2);
	const upper = sorted[middle] ?? Number.NaN;
	return sorted.length % 2 === 1 ? upper : (upper + (sorted[middle - 1] ?? Number.NaN)) / 2;
}

type Metric = {readonly name: string; readonly kind: Round['kind']; readonly read: (report: LoadReport) => number};

const METRICS: readonly Metric[] = [
	{name: 'whole answer, p50', kind: 'whole', read: report => report.totalMs.whole.p50},
	{name: 'whole answer, p95', kind: 'whole', read: report => report.totalMs.whole.p95},
	{name: 'whole answer, p99', kind: 'whole', read: report => report.totalMs.whole.p99},
	{name: 'first byte, p50', kind: 'stream', read: report => report.firstByteMs.p50},
	{name: 'first byte, p95', kind: 'stream', read: report => report.firstByteMs.p95},
	{name: 'between tokens, p50', kind: 'stream', read: report => report.betweenTokensMs.p50},
	{name: 'between tokens, p95', kind: 'stream', read: report => report.betweenTokensMs.p95},
	{name: 'between tokens, p99', kind: 'stream', read: report => report.betweenTokensMs.p99},
];

function readMetric(rounds: readonly Round[], metric: Metric, way: Route): readonly number[] {
	return rounds.filter(round => round.way === way && round.kind === metric.kind).map(round => metric.read(round.report));
}

function range(values: readonly number[]): string {
	return `${Math.min(...values).toFixed(2)} to ${Math.max(...values).toFixed(2)}`;
}

type CpuUsage = {readonly process: string; readonly perRequestMs: number; readonly perTokenMs: number};

/** Processor time per request, measured on calls with one token, and per token, from the additional time of streams. */
function readCpu(rounds: readonly Round[], process: string, read: (round: Round) => number): CpuUsage {
	const perCall = (kind: Round['kind']): number => median(rounds
		.filter(round => round.way === 'through' && round.kind === kind)
		.map(round => read(round) / round.report.ended));
	const perRequestMs = perCall('whole');
	return {process, perRequestMs, perTokenMs: (perCall('stream') - perRequestMs) / STREAM_TOKENS};
}

function buildResult(rounds: readonly Round[], idle: IdleUsage, note: string): BenchResult {
	const latency = METRICS.map(metric => {
		const [direct, through] = [readMetric(rounds, metric, 'direct'), readMetric(rounds, metric, 'through')];
		return {
			metric: metric.name, direct, through, addedMs: median(through) - median(direct),
		};
	});
	const cpu = [readCpu(rounds, 'entry', round => round.entryCpuMs), readCpu(rounds, 'endpoint', round => round.endpointCpuMs)];
	const failures = rounds.reduce((sum, {report}) => sum + report.sent - (report.outcomes['ok 200'] ?? 0), 0);
	return {
		title: 'Passing: what entry and endpoint add',
		notes: [
			`${ROUNDS} rounds of ${WHOLE_CALLS} whole answers of one token and ${STREAM_CALLS} streams of ${STREAM_TOKENS} tokens, `
			+ 'in turn straight to one stand-in engine and through one entry and one endpoint; medians of the rounds.',
			`${failures} calls without a correct answer; idle use of processor: entry ${idle.entry.toFixed(1)} ms/s, endpoint ${idle.endpoint.toFixed(1)} ms/s (subtracted).`,
		],
		tables: [
			{
				title: 'Latency in milliseconds',
				columns: ['measure', 'direct', 'through', 'added', 'direct, rounds', 'through, rounds'],
				rows: latency.map(({metric, direct, through, addedMs}) => [metric, median(direct).toFixed(2), median(through).toFixed(2), addedMs.toFixed(2), range(direct), range(through)]),
			},
			{
				title: 'Processor time in milliseconds',
				columns: ['process', 'per request', 'per token'],
				rows: cpu.map(({process, perRequestMs, perTokenMs}) => [process, perRequestMs.toFixed(3), perTokenMs.toFixed(4)]),
			},
		],
		charts: {
			'passing-latency': {
				kind: 'bar',
				title: 'Latency straight to the engine and through entry and endpoint',
				yLabel: 'ms (median of rounds)',
				note,
				categories: latency.map(({metric}) => metric.replace('whole answer', 'whole').replace('between tokens', 'tokens')),
				series: [
					{name: 'direct', values: latency.map(({direct}) => median(direct))},
					{name: 'through', values: latency.map(({through}) => median(through))},
				],
			},
		},
		raw: {
			latency, cpu, idle, rounds,
		},
	};
}

async function runPassing({log, note}: BenchContext): Promise<BenchResult> {
	const fleet = await BenchFleet.create({engines: 1, engineArgs: ENGINE_ARGS});
	try {
		// Warm-up: the first calls of a process run unoptimised code, so they are not measured.
		await runLoad({...PLANS.whole, urls: [fleet.entryUrl], workspaces: [fleet.workspace]});
		await runLoad({...PLANS.stream, urls: [fleet.entryUrl], workspaces: [fleet.workspace]});
		const idle = await measureIdle(fleet);
		const rounds: Round[] = [];
		for (let round = 0; round < ROUNDS; round++) {
			for (const kind of ['whole', 'stream'] as const) {
				for (const way of ['direct', 'through'] as const) {
					log(`passing: round ${round + 1} of ${ROUNDS}, ${kind}, ${way}`);
					rounds.push(await runRound(fleet, way, kind, idle));
				}
			}
		}

		return buildResult(rounds, idle, note);
	} finally {
		await fleet.close();
	}
}

export const passingPart: BenchPart = {
	name: 'passing',
	description: 'added latency and processor time per request and per token',
	run: runPassing,
};
