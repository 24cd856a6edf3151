/** A child process of a test, the demo or a benchmark. Development only; daemons start no process. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Lines of output kept for error messages. */
const KEPT_LINES = 400;

/** A process that has not printed its first JSON line after this time has failed to start. */
const START_LIMIT_MS = 30_000;

/** What differs from a stand-in or daemon. */
export type ChildOptions = {
	/** Arguments of Node.js itself. */
	readonly nodeArgs?: readonly string[];
	/** Variables on top of those of this process. */
	readonly env?: Readonly<Record<string, string>>;
	/** Whether a line of output, which must be JSON, shows that the process has started. */
	readonly isHello?: (line: string) => boolean;
};

function spawnPiped(module: string, args: readonly string[], {nodeArgs = [], env = {}}: ChildOptions) {
	return spawn(process.execPath, ['--enable-source-maps', ...nodeArgs, module, ...args], {env: {...process.env, ...env}, stdio: ['ignore', 'pipe', 'pipe']});
}

const isListening = (line: string) => line.startsWith('{"listening"') || line.startsWith('{"ready"');

const running = new Set<Child>();
let endsWithThisProcess = false;

/** Children must not outlive a test that fails, is stopped or throws. */
function endWithThisProcess(child: Child): void {
	running.add(child);
	void child.exited.then(() => {
		running.delete(child);
	});
	if (endsWithThisProcess) {
		return;
	}

	endsWithThisProcess = true;
	process.once('exit', () => {
		for (const other of running) {
			other.signal('SIGKILL');
		}
	});
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
		process.once(signal, () => {
			for (const other of running) {
				other.signal('SIGKILL');
			}

			// The handler is gone by now, so this ends the process.
			process.kill(process.pid, signal);
		});
	}
}

type PipedProcess = ReturnType<typeof spawnPiped>;

export class Child {
	/**
	 * Starts a compiled module of `target/` and waits for the JSON line that shows that it has started.
	 *
	 * @throws Error with the last output when the process ends or stays silent.
	 */
	static async create(name: string, module: string, args: readonly string[], options: ChildOptions = {}): Promise<Child> {
		const child = new Child(name, spawnPiped(module, args, options), options.isHello ?? isListening);
		endWithThisProcess(child);
		await child.#started;
		return child;
	}

	readonly name: string;
	readonly exited: Promise<number | undefined>;
	readonly #process: PipedProcess;
	readonly #lines: string[] = [];
	readonly #started: Promise<void>;
	readonly #isHello: (line: string) => boolean;
	#hello: Readonly<Record<string, unknown>> = {};

	private constructor(name: string, childProcess: PipedProcess, isHello: (line: string) => boolean) {
		this.name = name;
		this.#process = childProcess;
		this.#isHello = isHello;
		this.exited = this.#exit();
		this.#started = this.#start();
		createInterface({input: childProcess.stderr}).on('line', line => {
			this.#keep(line);
		});
	}

	get pid(): number {
		return this.#process.pid ?? 0;
	}

	/** The line that showed that the process had started. */
	get hello(): Readonly<Record<string, unknown>> {
		return this.#hello;
	}

	/** Last lines of output. */
	get output(): readonly string[] {
		return this.#lines;
	}

	/** True while the process runs. */
	get running(): boolean {
		return this.#process.exitCode === null && this.#process.signalCode === null;
	}

	signal(signal: NodeJS.Signals): void {
		if (this.running) {
			this.#process.kill(signal);
		}
	}

	/** Kills the process and waits for its end. */
	async kill(): Promise<void> {
		this.signal('SIGCONT');
		this.signal('SIGKILL');
		await this.exited;
	}

	async #exit(): Promise<number | undefined> {
		const [code] = await once(this.#process, 'exit') as [number | undefined];
		return code ?? undefined;
	}

	async #start(): Promise<void> {
		return new Promise((resolve, reject) => {
			const limit = setTimeout(() => {
				reject(new Error(`${this.name} did not start: ${this.#lines.join('\n')}`));
			}, START_LIMIT_MS);
			createInterface({input: this.#process.stdout}).on('line', line => {
				this.#keep(line);
				if (this.#isHello(line)) {
					clearTimeout(limit);
					this.#hello = JSON.parse(line) as Record<string, unknown>;
					resolve();
				}
			});
			void this.exited.then(code => {
				clearTimeout(limit);
				reject(new Error(`${this.name} ended with ${String(code)}: ${this.#lines.join('\n')}`));
			});
		});
	}

	#keep(line: string): void {
		this.#lines.push(line);
		if (this.#lines.length > KEPT_LINES) {
			this.#lines.shift();
		}
	}
}
