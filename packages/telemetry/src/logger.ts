/** JSON logs by bunyan. Each part of the system logs with a fixed prefix. */
import bunyan from 'bunyan';
import {BufferedOutput} from './buffered-output.js';

/** Fields that go with a log line; `requestId` follows one request end to end. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logger of one part. Messages are short sentences; the prefix is added. */
export type Logger = {
	debug(message: string, fields?: LogFields): void;
	info(message: string, fields?: LogFields): void;
	warn(message: string, fields?: LogFields): void;
	error(message: string, fields?: LogFields): void;
	/** A logger for another part of the same process. */
	child(prefix: string): Logger;
};

/** Levels in order of severity. */
export const logLevels = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;
export type LogLevel = (typeof logLevels)[number];

function wrap(base: bunyan, prefix: string): Logger {
	return {
		debug(message, fields = {}) {
			base.debug(fields, `${prefix}: ${message}`);
		},
		info(message, fields = {}) {
			base.info(fields, `${prefix}: ${message}`);
		},
		warn(message, fields = {}) {
			base.warn(fields, `${prefix}: ${message}`);
		},
		error(message, fields = {}) {
			base.error(fields, `${prefix}: ${message}`);
		},
		child: next => wrap(base, next),
	};
}

/**
 * Creates the process's logger on standard output.
 *
 * @param id - Machine id, a field of each line.
 */
export function createLogger(id: string, level: LogLevel): Logger {
	const stream = BufferedOutput.create() as unknown as NodeJS.WritableStream;
	return wrap(bunyan.createLogger({name: 'mimosamountd', machine: id, streams: [{level, stream}]}), 'daemon');
}

/** A logger that discards everything, for tests and embedding. */
export function createSilentLogger(): Logger {
	return wrap(bunyan.createLogger({name: 'silent', streams: []}), 'silent');
}
