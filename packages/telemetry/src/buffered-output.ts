/**
 * Collects log lines and writes them together. A write to a pipe blocks the process, and
 * one line per request took a fifth of an entry's processor time.
 */
import {writeSync} from 'node:fs';
import process from 'node:process';

/** Lines wait at most this long; a process that is killed loses what was logged since. */
const FLUSH_INTERVAL_MS = 100;

/** Lines are written at once when they reach this size. */
const FLUSH_CHARS = 64 * 1024;

/** Writes text to standard output; fails when nobody reads it any more. */
function writeOut(text: string): void {
	try {
		writeSync(process.stdout.fd, text);
	} catch {
		// Logs must never end the process: a full pipe (EAGAIN) or a closed one (EPIPE) loses lines only.
	}
}

export class BufferedOutput {
	/** @param write - Takes the collected lines; standard output by default. */
	static create(write: (text: string) => void = writeOut): BufferedOutput {
		const output = new BufferedOutput(write);
		process.once('exit', () => {
			output.flush();
		});
		return output;
	}

	readonly #write: (text: string) => void;
	#lines: string[] = [];
	#chars = 0;
	#timer: NodeJS.Timeout | undefined;

	private constructor(write: (text: string) => void) {
		this.#write = write;
	}

	/** Takes one line with its line break. */
	write(line: string): void {
		this.#lines.push(line);
		this.#chars += line.length;
		if (this.#chars >= FLUSH_CHARS) {
			this.flush();
			return;
		}

		this.#timer ??= setTimeout(() => {
			this.flush();
		}, FLUSH_INTERVAL_MS).unref();
	}

	/** Writes what was collected. */
	flush(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#lines.length === 0) {
			return;
		}

		const text = this.#lines.join('');
		this.#lines = [];
		this.#chars = 0;
		this.#write(text);
	}
}
