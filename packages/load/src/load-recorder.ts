/** Histograms and counts of a load run. */
import {build, type Histogram} from 'hdr-histogram-js';
import type {ItemResult} from './item-result.js';

/** Percentiles of a duration in milliseconds. */
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
	/** Calls sent and calls that ended. */
	readonly sent: number;
	readonly ended: number;
	/** Time from the start to the end of the last call in milliseconds. */
	readonly elapsedMs: number;
	/** Calls and tokens with a complete, correct answer per second. */
	readonly okPerSecond: number;
	readonly tokensPerSecond: number;
	/** Calls by outcome: `ok 200`, `refused 429 over-limit`, ... */
	readonly outcomes: Readonly<Record<string, number>>;
	/** Calls and correct calls by workspace. */
	readonly workspaces: Readonly<Record<string, {readonly sent: number; readonly ok: number}>>;
	/** Calls with bytes that do not belong to their answer. Anything but 0 is a fault of the system under test. */
	readonly wrong: number;
	/** From the planned time of sending to the first byte, of streamed answers that are correct. */
	readonly firstByteMs: DurationSummary;
	/** Between two tokens of a stream. */
	readonly betweenTokensMs: DurationSummary;
	/** From the planned time of sending to the end, of correct answers, by kind. */
	readonly totalMs: {readonly stream: DurationSummary; readonly whole: DurationSummary; readonly booking: DurationSummary};
	/** Largest delay of the generator itself in milliseconds: planned time to actual sending. */
	readonly generatorLagMs: number;
};

/** Largest value that the histograms hold, in microseconds (one hour). */
const HIGHEST_US = 3_600_000_000;

function createHistogram(): Histogram {
	return build({lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3});
}

function record(histogram: Histogram, ms: number, count = 1): void {
	histogram.recordValueWithCount(Math.min(HIGHEST_US, Math.max(1, Math.round(ms * 1000))), count);
}

/** Summary of a histogram of microseconds, in milliseconds. */
export function summarize(histogram: Histogram): DurationSummary {
	const ms = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
	return {
		count: histogram.totalCount,
		mean: histogram.totalCount === 0 ? 0 : histogram.mean / 1000,
		p50: ms(50),
		p90: ms(90),
		p95: ms(95),
		p99: ms(99),
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
	/** Tokens of streams that arrived so far, whatever became of their answers. */
	tokensReceived = 0;
	#generatorLagMs = 0;
	#okTokens = 0;
	readonly #outcomes = new Map<string, number>();
	readonly #workspaces = new Map<string, {sent: number; ok: number}>();
	readonly #firstByte = createHistogram();
	readonly #betweenTokens = createHistogram();
	readonly #total = {stream: createHistogram(), whole: createHistogram(), booking: createHistogram()};

	private constructor() {
		// Created by `create`.
	}

	/** Notes that a call was sent `lagMs` after its planned time. */
	recordSent(lagMs: number): void {
		this.sent++;
		this.#generatorLagMs = Math.max(this.#generatorLagMs, lagMs);
	}

	/** Notes that `tokens` arrived together `gapMs` after the previous ones. */
	recordTokens(gapMs: number, tokens: number): void {
		this.tokensReceived += tokens;
		if (tokens > 0) {
			record(this.#betweenTokens, gapMs);
			if (tokens > 1) {
				record(this.#betweenTokens, 0, tokens - 1);
			}
		}
	}

	recordResult(result: ItemResult): void {
		const {item, outcome} = result;
		const name = [outcome, result.status === 0 ? '' : String(result.status), result.code].filter(Boolean).join(' ');
		this.ended++;
		this.#outcomes.set(name, (this.#outcomes.get(name) ?? 0) + 1);
		const workspace = this.#workspaces.get(item.workspace.name) ?? {sent: 0, ok: 0};
		workspace.sent++;
		this.#workspaces.set(item.workspace.name, workspace);
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

	#recordOk({item, firstByteMs, totalMs}: ItemResult): void {
		if (item.kind === 'booking') {
			record(this.#total.booking, totalMs);
			return;
		}

		this.#okTokens += Number(item.body.max_tokens ?? 0);
		if (!item.stream) {
			record(this.#total.whole, totalMs);
		} else if (item.reading.kind === 'all') {
			record(this.#firstByte, firstByteMs);
			record(this.#total.stream, totalMs);
		}
	}
}
