/** JSON logging with bunyan. Each component of the system logs with a fixed prefix. */
import bunyan from 'bunyan';
import {BufferedOutput} from './buffered-output.js';

/** Fields of a log line; `requestId` identifies a request across all processes. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger of one component. Messages are short sentences; the prefix is added automatically. */
export type Logger = {
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
	/** Creates a logger for another component of the same process. */
	child(prefix: string): Logger;
};

/** Levels in order of severity. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;
export type LogLevel = (typeof logLevels)[number];

function withPrefix(logger: bunyan, prefix: string): Logger {
	return {
		debug(message, fields = {}) {
			logger.debug(fields, `${prefix}: ${message}`);
		},
		info(message, fields = {}) {
			logger.info(fields, `${prefix}: ${message}`);
		},
		warn(message, fields = {}) {
			logger.warn(fields, `${prefix}: ${message}`);
		},
		error(message, fields = {}) {
			logger.error(fields, `${prefix}: ${message}`);
		},
		child: next => withPrefix(logger, next),
	};
}

/**
 * Creates the logger of the process, which writes to standard output.
 *
 * @param id - Machine id, included as a field in each line.
 */
export function createLogger(id: string, level: LogLevel): Logger {
	const stream = BufferedOutput.create() as unknown as NodeJS.WritableStream;
	return withPrefix(bunyan.createLogger({name: 'mimosamountd', machine: id, streams: [{level, stream}]}), 'daemon');
}

/** Creates a logger that discards all lines, for tests and embedding. */
export function createSilentLogger(): Logger {
	return withPrefix(bunyan.createLogger({name: 'silent', streams: []}), 'silent');
}
