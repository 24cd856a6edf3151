/** Public API: logs, counters and latency histograms. */
export {
	createLogger, createSilentLogger, logLevels, type LogFields, type Logger, type LogLevel,
} from './logger.js';
export {BufferedOutput} from './buffered-output.js';
export {Metrics, type CounterName, type HistogramName} from './metrics.js';
