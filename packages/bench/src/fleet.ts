/** Runs the daemons and stand-ins of a benchmark as separate processes, and reads their processor and memory use. */
import {readFileSync} from 'node:fs';
import {request} from 'undici';
import {UnavailableError} from '#core';
import {hashKey, TestFleet, waitUntil} from '#harness';

const KEY = 'key-of-the-bench-workspace';

/** Time within which a new fleet must serve requests, in milliseconds. */
const START_TIMEOUT_MS = 60_000;

/** Clock tick of the processor times in /proc, in milliseconds: Linux reports 100 ticks per second on all common platforms. */
const CLOCK_TICK_MS = 10;

/** Page size of the memory figures in /proc, in bytes. */
const PAGE_BYTES = 4096;

/** Processor time and resident memory of one process, or of several together. */
export type ProcessUsage = {readonly cpuMs: number; readonly rssBytes: number};

export type BenchFleetOptions = {
	readonly engines: number;
	/** Arguments of each stand-in engine. */
	readonly engineArgs: readonly string[];
};

/**
 * Parses the processor time that a process has used since its start, and its resident memory.
 *
 * @param stat - Content of `/proc/PID/stat`.
 */
export function parseProcessStat(stat: string): ProcessUsage {
	// The process name in parentheses may contain spaces and parentheses; the field after it is the third.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {
		cpuMs: (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS,
		rssBytes: Number(fields[21]) * PAGE_BYTES,
	};
}

export class BenchFleet {
	/**
	 * Starts the platform, the engines with their endpoint processes and one entry, and waits until the entry serves requests.
	 *
	 * @throws UnavailableError with the last output of the processes if the fleet does not start.
	 */
	static async create(options: BenchFleetOptions): Promise<BenchFleet> {
		const fleet = await TestFleet.create();
		const benchFleet = new BenchFleet(fleet);
		try {
			await fleet.putRules(1, [
				'model drafting versions=1 # asked by bench: model of the measurement',
				`workspace bench key-sha256=${hashKey(KEY)} priority=5 # asked by bench: caller of the measurement`,
				'',
			].join('\n'));
			await fleet.addEntry();
			for (let index = 0; index < options.engines; index++) {
				await fleet.addEngine({models: ['drafting@1'], args: options.engineArgs});
			}

			await waitUntil('the entry serves all engines', async () => benchFleet.#isServing(), START_TIMEOUT_MS);
			return benchFleet;
		} catch (error) {
			const output = fleet.children.map(child => `--- ${child.name}\n${child.output.slice(-10).join('\n')}`).join('\n');
			await fleet.destroy();
			throw new UnavailableError(`the fleet did not start\n${output}`, {cause: error});
		}
	}

	readonly workspace = {name: 'bench', key: KEY, weight: 1};
	readonly #fleet: TestFleet;

	private constructor(fleet: TestFleet) {
		this.#fleet = fleet;
	}

	get entryUrl(): string {
		return this.#fleet.entries[0]?.url ?? '';
	}

	get engineUrls(): readonly string[] {
		return this.#fleet.endpoints.map(({backendUrl}) => backendUrl);
	}

	/** Resource use of the entry process. */
	entryUsage(): ProcessUsage {
		return this.#readUsage(this.#fleet.entries.map(({daemon}) => daemon.pid));
	}

	/** Total resource use of all endpoint processes. */
	endpointUsage(): ProcessUsage {
		return this.#readUsage(this.#fleet.endpoints.map(({daemon}) => daemon.pid));
	}

	/** Total resource use of all stand-in engines. */
	engineUsage(): ProcessUsage {
		return this.#readUsage(this.#fleet.endpoints.map(({backend}) => backend.pid));
	}

	/** Kills all processes of the fleet. */
	async close(): Promise<void> {
		await this.#fleet.destroy();
	}

	#readUsage(pids: readonly number[]): ProcessUsage {
		let cpuMs = 0;
		let rssBytes = 0;
		for (const pid of pids) {
			const usage = parseProcessStat(readFileSync(`/proc/${pid}/stat`, 'utf8'));
			cpuMs += usage.cpuMs;
			rssBytes += usage.rssBytes;
		}

		return {cpuMs, rssBytes};
	}

	/** Sends one probe per engine; true once each engine has run a request, so that the measurement includes all engines. */
	async #isServing(): Promise<boolean> {
		await Promise.all(this.engineUrls.map(async () => this.#probe()));
		const counts = await Promise.all(this.engineUrls.map(async url => this.#fleet.readJson(`${url}/counts`) as Promise<{readonly requests: number}>));
		return counts.every(({requests}) => requests > 0);
	}

	async #probe(): Promise<void> {
		const res = await request(`${this.entryUrl}/v1/chat/completions`, {
			method: 'POST',
			headers: {'content-type': 'application/json', authorization: `Bearer ${KEY}`},
			body: JSON.stringify({model: 'drafting', max_tokens: 1, messages: [{role: 'user', content: 'ready?'}]}),
		});
		await res.body.dump();
	}
}
