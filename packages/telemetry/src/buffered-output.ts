/**
 * Buffers log lines and writes them in batches. A write to a pipe blocks the process, and
 * writing one line per request took a fifth of an entry's CPU time.
 */
import {fstatSync, writeSync} from 'node:fs';
import process from 'node:process';
import {PipeWriter} from './pipe-writer.js';

/** Maximum time that lines are buffered; a process that is killed loses the lines logged since the last flush. */
const FLUSH_INTERVAL_MS = 100;

/** Buffered lines are flushed immediately when they reach this size. */
const FLUSH_THRESHOLD_CHARS = 64 * 1024;

/** Where the batches go. */
type OutputWriter = {
	readonly write: (text: string) => void;
	/** Called when the process exits, after the last batch. */
	readonly finish: () => void;
};

/** Creates a writer to standard output that does not block before the process exits: output that a pipe does not accept is queued in memory up to a limit. */
function createNonBlockingStdout(): OutputWriter {
	const {fd} = process.stdout;
	const stat = fstatSync(fd);
	if (!stat.isFIFO() && !stat.isSocket()) {
		return {
			write(text) {
				try {
					writeSync(fd, text);
				} catch {
					// A logging failure must never end the process; if the file cannot be written, only lines are lost.
				}
			},
			finish: () => undefined,
		};
	}

	const pipe = PipeWriter.create(fd);
	return {
		write(text) {
			pipe.write(text);
		},
		finish() {
			pipe.finish();
		},
	};
}

export class BufferedOutput {
	/** @param write - Writes the buffered lines; defaults to standard output. */
	static create(write?: (text: string) => void): BufferedOutput {
		const output = new BufferedOutput(write === undefined ? createNonBlockingStdout() : {write, finish: () => undefined});
		process.once('exit', () => {
			output.#isExiting = true;
			output.flush();
			output.#writer.finish();
		});
		return output;
	}

	readonly #writer: OutputWriter;
	#lines: string[] = [];
	#chars = 0;
	#timer: NodeJS.Timeout | undefined;
	/** No timer fires any more. */
	#isExiting = false;

	private constructor(writer: OutputWriter) {
		this.#writer = writer;
	}

	/** Buffers one line, including its line break. */
	write(line: string): void {
		this.#lines.push(line);
		this.#chars += line.length;
		if (this.#isExiting || this.#chars >= FLUSH_THRESHOLD_CHARS) {
			this.flush();
			return;
		}

		this.#timer ??= setTimeout(() => {
			this.flush();
		}, FLUSH_INTERVAL_MS).unref();
	}

	/** Writes the buffered lines. */
	flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#lines.length === 0) {
			return;
		}

		const text = this.#lines.join('');
		this.#lines = [];
		this.#chars = 0;
		this.#writer.write(text);
		if (this.#isExiting) {
			this.#writer.finish();
		}
	}
}
