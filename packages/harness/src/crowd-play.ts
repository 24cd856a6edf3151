/** Plays a crowd of callers against a process, with a few ordinary requests beside it and one after it. */
import {runCrowd, type CallerScript} from './caller-crowd.js';
import {ProcessUsage, type ProcessPeak} from './process-usage.js';
import {sleep, type Address} from '#core';

/** Ordinary requests that are sent beside the crowd. */
const REQUESTS_BESIDE = 4;

/** Times that an ordinary request is sent after the crowd until it is served. */
const MAX_TRIES = 20;

const RETRY_INTERVAL_MS = 250;

/** Memory of a process from which the crowd stops, in MB: the test has failed, and the machine is needed by others. */
const MAX_PLAYED_MB = 1000;

export type CrowdPlay = {
	/** Address to which the crowd connects. */
	readonly target: Address;
	readonly callers: number;
	readonly script: CallerScript;
	/** Time for which the crowd sends, in ms. */
	readonly playMs: number;
	/** Processes whose use is sampled. */
	readonly pids: readonly number[];
	/** Sends an ordinary request; returns its answer as text, `200` if it was served. */
	readonly request: (id: string) => Promise<string>;
};

export type CrowdResult = {
	/** Peaks of the processes, in their order. */
	readonly peaks: readonly ProcessPeak[];
	/** Answers to the ordinary requests beside the crowd. */
	readonly beside: readonly string[];
	/** Answers to the ordinary request after it, the last of which is `200` unless all tries failed. */
	readonly afterwards: readonly string[];
};

export async function playCrowd({target, callers, script, playMs, pids, request}: CrowdPlay): Promise<CrowdResult> {
	const crowd = new AbortController();
	const sampling = new AbortController();
	const usages = pids.map(pid => ProcessUsage.create(pid, sampling.signal, ({memoryMb}) => {
		if (memoryMb > MAX_PLAYED_MB) {
			crowd.abort();
		}
	}));
	try {
		runCrowd(target, {callers, script}, crowd.signal);
		const beside: string[] = [];
		for (let i = 0; i < REQUESTS_BESIDE && usages.every(({peak}) => peak.memoryMb < MAX_PLAYED_MB); i += 1) {
			await sleep(playMs / REQUESTS_BESIDE);
			beside.push(await request(`beside-${i}`));
		}

		crowd.abort();
		const afterwards: string[] = [];
		while (afterwards.length < MAX_TRIES && afterwards.at(-1) !== '200') {
			await sleep(RETRY_INTERVAL_MS);
			afterwards.push(await request(`afterwards-${afterwards.length}`));
		}

		return {peaks: usages.map(({peak}) => peak), beside, afterwards};
	} finally {
		crowd.abort();
		sampling.abort();
	}
}

/** One line for the output of a test. */
export function describeCrowd({peaks, beside, afterwards}: CrowdResult): string {
	const used = peaks.map(({memoryMb, residentMb, unreadMb, descriptors}) => `peak ${Math.round(memoryMb)} MB (resident ${Math.round(residentMb)}, unread ${Math.round(unreadMb)} at most), ${descriptors} descriptors`);
	return [...used, `beside ${beside.join(' ')}`, `afterwards ${afterwards.join(' ')}`].join('; ');
}
