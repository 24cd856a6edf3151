/**
 * Reads the rules and the list of machines from the platform. Every machine reads both
 * once when it starts; after that only the watchers of a zone do, and tell their peers.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {type Peering} from './peering.js';
import {
	formatMachines, isWatcher, parseMachine, type Machine,
} from '#membership';
import {type PlatformClient} from '#object-api';
import {type Logger} from '#telemetry';

/** Object that holds the rules. */
export const RULES_OBJECT = 'config/rules';

/** Interval at which a watcher reads the list of machines. */
const LIST_INTERVAL_MS = 2000;

/** Pause after a failed call, and between checks whether this machine became a watcher. */
const RETRY_INTERVAL_MS = 1000;

/**
 * Interval at which a watcher reads the rules while the platform's bookmarks show changes.
 * A watch can leave a change out, and bookmarks count changes of all objects.
 */
const REREAD_INTERVAL_MS = 2000;

const rulesSchema = z.object({version: z.number().int().positive(), text: z.string()});

export type PlatformWatchOptions = {
	readonly peering: Peering;
	readonly platform: PlatformClient;
	readonly log: Logger;
	readonly signal: AbortSignal;
};

export class PlatformWatch {
	/** Starts the reads and, on a watcher, the watch. */
	static create(options: PlatformWatchOptions): PlatformWatch {
		const watch = new PlatformWatch(options);
		void watch.#run(async () => watch.#rulesRound());
		void watch.#run(async () => watch.#listRound());
		return watch;
	}

	readonly #options: PlatformWatchOptions;
	readonly #log: Logger;
	#readOnce = false;
	/** Time of the last answered read of the rules, ms since the epoch. */
	#readAt = 0;
	/** Version of the last bookmark after which the rules were read. */
	#checkedVersion = '';
	#listedOnce = false;

	private constructor(options: PlatformWatchOptions) {
		this.#options = options;
		this.#log = options.log.part('platform');
	}

	get #watches(): boolean {
		const {machine, kernel} = this.#options.peering;
		return machine.role === 'entry' && isWatcher(kernel.snapshot.directory, machine.id, machine.zone);
	}

	async #run(round: () => Promise<void>): Promise<void> {
		const {signal} = this.#options;
		while (!signal.aborted) {
			try {
				await round();
				await sleep(RETRY_INTERVAL_MS, undefined, {signal, ref: false});
			} catch (error) {
				if (!signal.aborted) {
					this.#log.error('platform watch failed', {err: error});
				}
			}
		}
	}

	/** Reads the rules once, then watches them for as long as this machine is a watcher. */
	async #rulesRound(): Promise<void> {
		if (this.#readOnce && !this.#watches) {
			return;
		}

		const version = await this.#readRules();
		if (version === undefined) {
			this.#options.peering.setPlatformState('unreachable', false);
			return;
		}

		this.#readOnce = true;
		if (this.#watches) {
			await this.#watch(version);
		}
	}

	/** Reads the rules and takes them in. Returns the version of the object, `0` if there is none; undefined if the platform did not answer. */
	async #readRules(): Promise<string | undefined> {
		const {peering, platform, signal} = this.#options;
		const read = await platform.read(RULES_OBJECT, {signal});
		if (read.kind === 'failed' && read.failure.kind !== 'missing') {
			return undefined;
		}

		if (read.kind === 'ok') {
			this.#offer(read.value.value);
		}

		this.#readAt = Date.now();
		peering.setPlatformState('answered', true);
		return read.kind === 'ok' ? read.value.resourceVersion : '0';
	}

	/** Confirms the rules in force by a bookmark, or by a read if the watch may have left a change of the rules out. */
	async #onBookmark(version: string): Promise<void> {
		if (version !== this.#checkedVersion && Date.now() - this.#readAt >= REREAD_INTERVAL_MS && await this.#readRules() !== undefined) {
			this.#checkedVersion = version;
			return;
		}

		this.#options.peering.setPlatformState('answered', version === this.#checkedVersion);
	}

	async #watch(version: string): Promise<void> {
		const {peering, platform, signal} = this.#options;
		for await (const event of platform.watch(RULES_OBJECT, version, {signal})) {
			switch (event.kind) {
				case 'added':
				case 'modified': {
					this.#offer(event.object.value);
					peering.setPlatformState('answered', true);
					break;
				}

				case 'deleted': {
					this.#log.warn('rules object was deleted; the rules in force stay');
					break;
				}

				case 'bookmark': {
					await this.#onBookmark(event.resourceVersion);
					break;
				}

				case 'too-old':
				case 'lost': {
					return;
				}
			}

			if (!this.#watches) {
				return;
			}
		}
	}

	#offer(value: unknown): void {
		const parsed = rulesSchema.safeParse(value);
		if (parsed.success) {
			this.#options.peering.offerRules(parsed.data.version, parsed.data.text, 'platform');
			return;
		}

		this.#log.error('rules object has an unexpected shape; the rules in force stay');
	}

	async #listRound(): Promise<void> {
		if (this.#listedOnce && !this.#watches) {
			return;
		}

		const {peering, platform, signal} = this.#options;
		const list = await platform.listInstances({signal});
		if (list.kind === 'failed') {
			return;
		}

		const machines = list.value.items.flatMap(item => this.#toMachine(item));
		peering.offerList(Number(list.value.resourceVersion), machines, formatMachines(machines));
		this.#listedOnce = true;
		await sleep(LIST_INTERVAL_MS - RETRY_INTERVAL_MS, undefined, {signal, ref: false});
	}

	#toMachine(item: unknown): readonly Machine[] {
		try {
			return [parseMachine(item)];
		} catch (error) {
			this.#log.warn('instance left out of the list', {reason: error instanceof Error ? error.message : 'unreadable'});
			return [];
		}
	}
}
