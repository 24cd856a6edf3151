/** Child processes of tests, the demo and benchmarks. Development only; daemons start no processes. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import type {Socket} from 'node:net';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** Number of output lines kept for error messages. */
const MAX_OUTPUT_LINES = 400;

/** Time after which a process that has not printed its ready line has failed to start. */
const START_TIMEOUT_MS = 30_000;

/** Environment of a process whose memory is measured: without the modules that a test runner loads into each process, which take some 50 MB. */
export const MEASURED_ENV = {NODE_OPTIONS: ''} as const;

/** Options for processes other than the stand-ins and daemons. */
export type ChildOptions = {
	/** Arguments of Node.js itself. */
	readonly nodeArgs?: readonly string[];
	/** Environment variables in addition to those of this process. */
	readonly env?: Readonly<Record<string, string>>;
	/** Whether a line of standard output, which must then be JSON, is the one that reports that the process is ready. */
	readonly isReadyLine?: (line: string) => boolean;
	/** Standard output of the process; by default a pipe whose lines are read. */
	readonly stdout?: Socket;
	/** Called with each line of standard output and standard error that is read. */
	readonly onLine?: (line: string) => void;
};

function spawnPiped(module: string, args: readonly string[], {nodeArgs = [], env = {}, stdout}: ChildOptions) {
	// The test runner adds its options to each Node.js process that is started directly.
	const command = env.NODE_OPTIONS === '' ? ['env', '-u', 'NODE_OPTIONS', process.execPath] : [process.execPath];
	return spawn(command[0]!, [...command.slice(1), '--enable-source-maps', ...nodeArgs, module, ...args], {env: {...process.env, ...env}, stdio: ['ignore', stdout ?? 'pipe', 'pipe']});
}

const isDefaultReadyLine = (line: string) => line.startsWith('{"listening"') || line.startsWith('{"ready"');

const liveChildren = new Set<Child>();
let hasExitHandlers = false;

/** Kills the child when this process exits, so that no child outlives a test that fails, is stopped or throws. */
function killOnParentExit(child: Child): void {
	liveChildren.add(child);
	void child.exited.then(() => {
		liveChildren.delete(child);
	});
	if (hasExitHandlers) {
		return;
	}

	hasExitHandlers = true;
	process.once('exit', () => {
		for (const running of liveChildren) {
			running.signal('SIGKILL');
		}
	});
	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
		process.once(signal, () => {
			for (const running of liveChildren) {
				running.signal('SIGKILL');
			}

			// `once` has removed this handler, so the signal now ends the process.
			process.kill(process.pid, signal);
		});
	}
}

type SpawnedProcess = ReturnType<typeof spawnPiped>;

export class Child {
	/**
	 * Starts a compiled module of `target/` and waits for its ready line.
	 *
	 * @throws Error with the last lines of output when the process exits or does not print the ready line in time.
	 */
	static async create(name: string, module: string, args: readonly string[], options: ChildOptions = {}): Promise<Child> {
		const child = Child.spawn(name, module, args, options);
		await child.#ready;
		return child;
	}

	/** Starts a compiled module of `target/` without waiting for its ready line. */
	static spawn(name: string, module: string, args: readonly string[], options: ChildOptions = {}): Child {
		const child = new Child(name, spawnPiped(module, args, options), options);
		killOnParentExit(child);
		return child;
	}

	readonly name: string;
	readonly exited: Promise<number | undefined>;
	/** Settles when the process has exited and all its output has been read. */
	readonly closed: Promise<void>;
	readonly #process: SpawnedProcess;
	readonly #lines: string[] = [];
	readonly #ready: Promise<void>;
	readonly #options: ChildOptions;
	#readyMessage: Readonly<Record<string, unknown>> = {};

	private constructor(name: string, childProcess: SpawnedProcess, options: ChildOptions) {
		this.name = name;
		this.#process = childProcess;
		this.#options = options;
		this.exited = this.#waitForExit();
		this.closed = once(childProcess, 'close').then(() => undefined);
		this.#ready = this.#waitUntilReady();
		// Only `create` waits for it.
		this.#ready.catch(() => undefined);
		createInterface({input: childProcess.stderr!}).on('line', line => {
			this.#appendOutput(line);
		});
	}

	get pid(): number {
		return this.#process.pid ?? 0;
	}

	/** Parsed JSON of the ready line. */
	get readyMessage(): Readonly<Record<string, unknown>> {
		return this.#readyMessage;
	}

	/** Last lines of standard output and standard error. */
	get output(): readonly string[] {
		return this.#lines;
	}

	/** True while the process runs. */
	get running(): boolean {
		return this.#process.exitCode === null && this.#process.signalCode === null;
	}

	/** Signal that ended the process; undefined while it runs, and if it exited by itself. */
	get endSignal(): NodeJS.Signals | undefined {
		return this.#process.signalCode ?? undefined;
	}

	signal(signal: NodeJS.Signals): void {
		if (this.running) {
			this.#process.kill(signal);
		}
	}

	/** Kills the process, even if it is paused, and waits for it to exit. */
	async kill(): Promise<void> {
		this.signal('SIGCONT');
		this.signal('SIGKILL');
		await this.exited;
	}

	async #waitForExit(): Promise<number | undefined> {
		const [code] = await once(this.#process, 'exit') as [number | undefined];
		return code ?? undefined;
	}

	async #waitUntilReady(): Promise<void> {
		return new Promise((resolve, reject) => {
			const timer = setTimeout(() => {
				reject(new Error(`${this.name} did not start: ${this.#lines.join('\n')}`));
			}, START_TIMEOUT_MS);
			if (this.#process.stdout !== null) {
				createInterface({input: this.#process.stdout}).on('line', line => {
					this.#appendOutput(line);
					if ((this.#options.isReadyLine ?? isDefaultReadyLine)(line)) {
						clearTimeout(timer);
						this.#readyMessage = JSON.parse(line) as Record<string, unknown>;
						resolve();
					}
				});
			}

			void this.exited.then(code => {
				clearTimeout(timer);
				reject(new Error(`${this.name} exited with code ${String(code)}: ${this.#lines.join('\n')}`));
			});
		});
	}

	#appendOutput(line: string): void {
		this.#options.onLine?.(line);
		this.#lines.push(line);
		if (this.#lines.length > MAX_OUTPUT_LINES) {
			this.#lines.shift();
		}
	}
}
