/**
 * Counters, gauges and latency histograms of one process, exposed in the Prometheus text format.
 * Counters and gauges use prom-client, latencies hdr-histogram-js.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import {Counter, Gauge, Registry} from 'prom-client';

const PERCENTILES = [50, 90, 95, 99, 99.9] as const;
const MAX_LATENCY_MICROSECONDS = 3_600_000_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Counters with their help text and their single label. Each refusal and retry reason is a label value. */
const counterDefinitions = {
	requests: ['Requests by kind.', 'kind'],
	answers: ['Answers by status class.', 'status'],
	refusals: ['Refusals to callers by reason.', 'reason'],
	endpointRefusals: ['Work refused by the endpoint process by reason.', 'reason'],
	retries: ['Attempts after the first by reason.', 'reason'],
	retriesDenied: ['Attempts that were not followed by another one, by reason.', 'reason'],
	retryAfters: ['Refusals of endpoints that named a time to retry.', 'kind'],
	framesDropped: ['Late, crossed or duplicate frames by reason.', 'reason'],
	peerRefusals: ['Peer messages and handshakes refused by reason.', 'reason'],
	platformCalls: ['Calls of the platform by kind.', 'kind'],
	platformFailures: ['Failed calls of the platform by kind of failure.', 'kind'],
	configChanges: ['Configurations put in force by source.', 'source'],
	mapChanges: ['Expert map changes by result.', 'result'],
	crashes: ['Engine crashes seen, by kind.', 'kind'],
	endpointAvailability: ['Changes of what endpoints say of further requests, by kind.', 'kind'],
	evacuations: ['Evacuations of zones that began, ended, or went on without their object, as seen by this process.', 'change'],
	internalErrors: ['Exceptions that ended a unit of work, by its kind.', 'where'],
	streams: ['Complete streams by their longest time between two events against the target of their route.', 'gap'],
	tokens: ['Stream events passed on, by direction.', 'direction'],
} as const;

/** Name of a counter. */
export type CounterName = keyof typeof counterDefinitions;

/** Names of the latency histograms, which are exposed in seconds. */
const histogramNames = ['firstByte', 'total', 'claim', 'attempt', 'platformCall', 'longestGap', 'readDelay', 'loopDelay'] as const;
export type HistogramName = (typeof histogramNames)[number];

function metricName(name: string): string {
	return `mimosamount_${name.replaceAll(/[A-Z]/gu, letter => `_${letter.toLowerCase()}`)}`;
}

export class Metrics {
	static create(): Metrics {
		return new Metrics();
	}

	readonly #registry = new Registry();
	readonly #counters = new Map<CounterName, Counter>();
	readonly #histograms = new Map<HistogramName, Histogram>();

	private constructor() {
		for (const [name, [help, label]] of Object.entries(counterDefinitions)) {
			this.#counters.set(name as CounterName, new Counter({
				name: `${metricName(name)}_total`, help, labelNames: [label], registers: [this.#registry],
			}));
		}

		for (const name of histogramNames) {
			this.#histograms.set(name, build({highestTrackableValue: MAX_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3, bitBucketSize: 32}));
		}
	}

	/** Increments a counter by `by`. `value` is the label value, for example a refusal reason. */
	count(name: CounterName, value: string, by = 1): void {
		this.#counters.get(name)?.inc({[counterDefinitions[name][1]]: value}, by);
	}

	/** Records a latency in milliseconds. */
	recordLatency(name: HistogramName, latencyMs: number): void {
		this.#histograms.get(name)?.recordValue(Math.max(0, Math.round(latencyMs * 1000)));
	}

	/** Registers a gauge whose value is read at each exposition. */
	registerGauge(name: string, help: string, read: () => number): void {
		const gauge = new Gauge({
			name: metricName(name),
			help,
			registers: [this.#registry],
			collect() {
				gauge.set(read());
			},
		});
	}

	/** Current value of a counter for a label value; 0 if it was never incremented. */
	async counterValue(name: CounterName, value: string): Promise<number> {
		const metric = await this.#counters.get(name)?.get();
		return metric?.values.find(entry => Object.values(entry.labels).includes(value))?.value ?? 0;
	}

	/** Returns all counters, gauges and histograms in the Prometheus text format. */
	async expose(): Promise<string> {
		const text = await this.#registry.metrics();
		return `${text}${histogramNames.map(name => this.#exposeHistogram(name)).join('')}`;
	}

	#exposeHistogram(name: HistogramName): string {
		const histogram = this.#histograms.get(name);
		if (histogram === undefined) {
			return '';
		}

		const metric = `${metricName(name)}_seconds`;
		const quantiles = PERCENTILES.map(percentile => {
			const seconds = histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_SECOND;
			return `${metric}{quantile="${percentile / 100}"} ${seconds}\n`;
		});
		const sum = histogram.mean * histogram.totalCount / MICROSECONDS_PER_SECOND;
		return `# TYPE ${metric} summary\n${quantiles.join('')}${metric}_sum ${Number.isFinite(sum) ? sum : 0}\n${metric}_count ${histogram.totalCount}\n`;
	}
}
