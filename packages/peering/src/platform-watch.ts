/**
 * Reads the rules and the list of machines from the platform. Every machine reads both once when it
 * starts; after that only the watchers of a zone read them and pass changes on to their peers.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {type Peering} from './peering.js';
import {
	formatMachines, isWatcher, parseMachine, type Machine,
} from '#membership';
import {type PlatformClient} from '#object-api';
import {type Logger} from '#telemetry';

/** Path of the object that contains the rules. */
export const RULES_OBJECT = 'config/rules';

/** Interval at which a watcher reads the list of machines. */
const LIST_INTERVAL_MS = 2000;

/** Delay after a failed call, and between checks whether this machine has become a watcher. */
const RETRY_DELAY_MS = 1000;

/**
 * Minimum interval at which a watcher reads the rules again when a bookmark shows a change. This is necessary
 * because a watch can miss a change; a bookmark's version covers the changes of all objects.
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
	/** Starts reading and, on a watcher, watching. */
	static create(options: PlatformWatchOptions): PlatformWatch {
		const watch = new PlatformWatch(options);
		void watch.#repeat(async () => watch.#syncRules());
		void watch.#repeat(async () => watch.#syncList());
		return watch;
	}

	readonly #options: PlatformWatchOptions;
	readonly #log: Logger;
	#hasReadRules = false;
	/** Time of the last successful read of the rules, ms since the epoch. */
	#rulesReadAt = 0;
	/** Version of the last bookmark that was followed by a read of the rules. */
	#confirmedBookmark = '';
	#hasReadList = false;

	private constructor(options: PlatformWatchOptions) {
		this.#options = options;
		this.#log = options.log.child('platform');
	}

	get #isWatcher(): boolean {
		const {machine, kernel} = this.#options.peering;
		return machine.role === 'entry' && isWatcher(kernel.snapshot.directory, machine.id, machine.zone);
	}

	async #repeat(round: () => Promise<void>): Promise<void> {
		const {signal} = this.#options;
		while (!signal.aborted) {
			try {
				await round();
				await sleep(RETRY_DELAY_MS, undefined, {signal, ref: false});
			} catch (error) {
				if (!signal.aborted) {
					this.#log.error('platform watch failed', {err: error});
				}
			}
		}
	}

	/** Reads the rules once, then watches them while this machine is a watcher. */
	async #syncRules(): Promise<void> {
		if (this.#hasReadRules && !this.#isWatcher) {
			return;
		}

		const version = await this.#readRules();
		if (version === undefined) {
			this.#options.peering.setPlatformState('unreachable', false);
			return;
		}

		this.#hasReadRules = true;
		if (this.#isWatcher) {
			await this.#watch(version);
		}
	}

	/** Reads and applies the rules. Returns the version of the object, `0` if there is none; undefined if the platform did not respond. */
	async #readRules(): Promise<string | undefined> {
		const {peering, platform, signal} = this.#options;
		const read = await platform.read(RULES_OBJECT, {signal});
		if (read.kind === 'failed' && read.failure.kind !== 'missing') {
			return undefined;
		}

		if (read.kind === 'ok') {
			this.#offerRules(read.value.value);
		}

		this.#rulesReadAt = Date.now();
		peering.setPlatformState('answered', true);
		return read.kind === 'ok' ? read.value.resourceVersion : '0';
	}

	/** Confirms the rules in force by a bookmark, or by a read if the watch may have missed a change. */
	async #onBookmark(version: string): Promise<void> {
		if (version !== this.#confirmedBookmark && Date.now() - this.#rulesReadAt >= REREAD_INTERVAL_MS && await this.#readRules() !== undefined) {
			this.#confirmedBookmark = version;
			return;
		}

		this.#options.peering.setPlatformState('answered', version === this.#confirmedBookmark);
	}

	async #watch(version: string): Promise<void> {
		const {peering, platform, signal} = this.#options;
		for await (const event of platform.watch(RULES_OBJECT, version, {signal})) {
			switch (event.kind) {
				case 'added':
				case 'modified': {
					this.#offerRules(event.object.value);
					peering.setPlatformState('answered', true);
					break;
				}

				case 'deleted': {
					this.#log.warn('rules object was deleted; keeping the rules in force');
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

			if (!this.#isWatcher) {
				return;
			}
		}
	}

	#offerRules(value: unknown): void {
		const parsed = rulesSchema.safeParse(value);
		if (parsed.success) {
			this.#options.peering.offerRules(parsed.data.version, parsed.data.text, 'platform');
			return;
		}

		this.#log.error('rules object is malformed; keeping the rules in force');
	}

	async #syncList(): Promise<void> {
		if (this.#hasReadList && !this.#isWatcher) {
			return;
		}

		const {peering, platform, signal} = this.#options;
		const list = await platform.listInstances({signal});
		if (list.kind === 'failed') {
			return;
		}

		const machines = list.value.items.flatMap(item => this.#toMachine(item));
		peering.offerList(Number(list.value.resourceVersion), machines, formatMachines(machines));
		this.#hasReadList = true;
		await sleep(LIST_INTERVAL_MS - RETRY_DELAY_MS, undefined, {signal, ref: false});
	}

	#toMachine(item: unknown): readonly Machine[] {
		try {
			return [parseMachine(item)];
		} catch (error) {
			this.#log.warn('ignoring a malformed instance of the list', {reason: error instanceof Error ? error.message : 'unreadable'});
			return [];
		}
	}
}
