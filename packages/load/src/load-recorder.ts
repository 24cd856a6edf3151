/** Counts and histograms of a load run. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {RequestResult} from './item-result.js';

/** Count, mean, percentiles and maximum of a duration, in milliseconds. */
export type DurationSummary = {
	readonly count: number;
	readonly mean: number;
	readonly p50: number;
	readonly p90: number;
	readonly p95: number;
	readonly p99: number;
	readonly max: number;
};

/** Result of a load run. */
export type LoadReport = {
	/** Requests sent and requests that ended. */
	readonly sent: number;
	readonly ended: number;
	/** Time from the start to the end of the last request, in milliseconds. */
	readonly elapsedMs: number;
	/** Requests and tokens per second, of complete and correct responses. */
	readonly okPerSecond: number;
	readonly tokensPerSecond: number;
	/** Requests by outcome: `ok 200`, `refused 429 over-limit`, ... */
	readonly outcomes: Readonly<Record<string, number>>;
	/** Requests that ended and correct responses, by workspace. */
	readonly workspaces: Readonly<Record<string, {readonly sent: number; readonly ok: number}>>;
	/** Responses with unexpected bytes. A value other than 0 is a fault of the system under test. */
	readonly wrong: number;
	/** From the planned time of sending to the first byte, of correct streamed responses. */
	readonly firstByteMs: DurationSummary;
	/** Time between two tokens of a stream. */
	readonly betweenTokensMs: DurationSummary;
	/** From the planned time of sending to the end, of correct responses, by kind. */
	readonly totalMs: {readonly stream: DurationSummary; readonly whole: DurationSummary; readonly booking: DurationSummary};
	/** Largest delay of the load generator itself, from the planned to the actual time of sending, in milliseconds. */
	readonly generatorLagMs: number;
};

/** Largest value that the histograms hold, in microseconds (one hour). */
const MAX_DURATION_US = 3_600_000_000;

function createHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION_US, numberOfSignificantValueDigits: 3});
}

function recordDuration(histogram: Histogram, ms: number, count = 1): void {
	histogram.recordValueWithCount(Math.min(MAX_DURATION_US, Math.max(1, Math.round(ms * 1000))), count);
}

/** Summarizes a histogram of microseconds in milliseconds. */
export function summarize(histogram: Histogram): DurationSummary {
	const percentileMs = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
	return {
		count: histogram.totalCount,
		mean: histogram.totalCount === 0 ? 0 : histogram.mean / 1000,
		p50: percentileMs(50),
		p90: percentileMs(90),
		p95: percentileMs(95),
		p99: percentileMs(99),
		max: histogram.totalCount === 0 ? 0 : histogram.maxValue / 1000,
	};
}

export class LoadRecorder {
	static create(): LoadRecorder {
		return new LoadRecorder();
	}

	sent = 0;
	ended = 0;
	ok = 0;
	wrong = 0;
	/** Tokens of streams received so far, regardless of the outcome of the responses. */
	tokensReceived = 0;
	#generatorLagMs = 0;
	#okTokens = 0;
	readonly #outcomes = new Map<string, number>();
	readonly #workspaces = new Map<string, {sent: number; ok: number}>();
	readonly #firstByte = createHistogram();
	readonly #betweenTokens = createHistogram();
	readonly #total = {stream: createHistogram(), whole: createHistogram(), booking: createHistogram()};

	private constructor() {
		// Use `create`.
	}

	/** Records that a request was sent `lagMs` after its planned time. */
	recordSent(lagMs: number): void {
		this.sent++;
		this.#generatorLagMs = Math.max(this.#generatorLagMs, lagMs);
	}

	/** Records that `tokens` were received together, `intervalMs` after the previous chunk. */
	recordTokens(intervalMs: number, tokens: number): void {
		this.tokensReceived += tokens;
		if (tokens > 0) {
			recordDuration(this.#betweenTokens, intervalMs);
			if (tokens > 1) {
				recordDuration(this.#betweenTokens, 0, tokens - 1);
			}
		}
	}

	recordResult(result: RequestResult): void {
		const {planned, outcome} = result;
		const name = [outcome, result.status === 0 ? '' : String(result.status), result.code].filter(Boolean).join(' ');
		this.ended++;
		this.#outcomes.set(name, (this.#outcomes.get(name) ?? 0) + 1);
		const workspace = this.#workspaces.get(planned.workspace.name) ?? {sent: 0, ok: 0};
		workspace.sent++;
		this.#workspaces.set(planned.workspace.name, workspace);
		this.wrong += outcome === 'wrong' ? 1 : 0;
		if (outcome === 'ok') {
			this.ok++;
			workspace.ok++;
			this.#recordOk(result);
		}
	}

	report(elapsedMs: number): LoadReport {
		return {
			sent: this.sent,
			ended: this.ended,
			elapsedMs,
			okPerSecond: this.ok * 1000 / elapsedMs,
			tokensPerSecond: this.#okTokens * 1000 / elapsedMs,
			outcomes: Object.fromEntries([...this.#outcomes].toSorted(([a], [b]) => a.localeCompare(b))),
			workspaces: Object.fromEntries(this.#workspaces),
			wrong: this.wrong,
			firstByteMs: summarize(this.#firstByte),
			betweenTokensMs: summarize(this.#betweenTokens),
			totalMs: {stream: summarize(this.#total.stream), whole: summarize(this.#total.whole), booking: summarize(this.#total.booking)},
			generatorLagMs: this.#generatorLagMs,
		};
	}

	#recordOk({planned, firstByteMs, totalMs}: RequestResult): void {
		if (planned.kind === 'booking') {
			recordDuration(this.#total.booking, totalMs);
			return;
		}

		this.#okTokens += Number(planned.body.max_tokens ?? 0);
		if (!planned.stream) {
			recordDuration(this.#total.whole, totalMs);
		} else if (planned.readMode.kind === 'all') {
			recordDuration(this.#firstByte, firstByteMs);
			recordDuration(this.#total.stream, totalMs);
		}
	}
}
