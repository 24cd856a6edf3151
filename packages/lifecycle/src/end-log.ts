/**
 * The first and the last log line of a process: which code it runs; why it ends, and what is open then. A process that is killed cannot
 * write the last one.
 */
import process from 'node:process';
import {describeError} from '#core';
import type {LogFields, Logger} from '#telemetry';

/** Why a process ends: `not-requested` if no part of it asked for its end. */
export type EndCause
	= | {readonly kind: 'not-requested'}
		| {readonly kind: 'start-failed'; readonly error: unknown}
		| {readonly kind: 'stopped'}
		| {readonly kind: 'stop-failed'; readonly error: unknown}
		| {readonly kind: 'exception'; readonly error: unknown};

/** Set by the bundler. */
declare const CODE_VERSION: string | undefined;

export type EndLogOptions = {
	readonly logger: Logger;
	/** Describes the work that is open now, bounded in size. */
	readonly describeOpen: () => LogFields;
};

export class EndLog {
	/** Logs the begin of this process, and its end from now on. */
	static create(options: EndLogOptions): EndLog {
		const endLog = new EndLog(options);
		options.logger.info('process began', {codeVersion: typeof CODE_VERSION === 'string' ? CODE_VERSION : 'unbundled', nodeVersion: process.version, uptimeMs: uptimeMs()});
		process.on('uncaughtExceptionMonitor', error => {
			endLog.setCause({kind: 'exception', error});
		});
		process.once('exit', code => {
			endLog.#write(code);
		});
		return endLog;
	}

	#cause: EndCause = {kind: 'not-requested'};
	#signal: NodeJS.Signals | undefined;
	readonly #options: EndLogOptions;

	private constructor(options: EndLogOptions) {
		this.#options = options;
	}

	setCause(cause: EndCause): void {
		this.#cause = cause;
	}

	/** Logs a signal; the last line names the first one that asked for the end. */
	recordSignal(signal: NodeJS.Signals, isStop: boolean): void {
		if (isStop) {
			this.#signal ??= signal;
		}

		this.#options.logger.info('signal received', {signal, uptimeMs: uptimeMs()});
	}

	/** Logs that a step failed, with what is open; the process goes on. */
	recordFailure(step: 'reload' | 'stop', error: unknown): void {
		this.#options.logger.error(`${step} failed`, {signal: this.#signal, ...this.#describeOpen(), detail: describeError(error)});
	}

	#write(code: number): void {
		const {logger} = this.#options;
		const fields = {
			cause: this.#cause.kind, code, signal: this.#signal, uptimeMs: uptimeMs(), ...this.#describeOpen(),
		};
		if ('error' in this.#cause) {
			logger.error('process ended', {...fields, detail: describeError(this.#cause.error)});
		} else {
			logger.info('process ended', fields);
		}
	}

	#describeOpen(): LogFields {
		try {
			return this.#options.describeOpen();
		} catch (error) {
			return {openUnknown: describeError(error)};
		}
	}
}

function uptimeMs(): number {
	return Math.round(process.uptime() * 1000);
}
