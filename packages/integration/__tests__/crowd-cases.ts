/** Plays crowds against an entry and an endpoint, and checks that both stay within their machines and serve an ordinary request afterwards. */
import t from 'tap';
import {parseAddress, type Address} from '#core';
import {
	createBodyScripts, describeCrowd, MEASURED_ENV, playCrowd, requestStatus, type NamedScript,
} from '#harness';
import {
	baseRules, CLERK_KEY, startFleet, stopFleet, type RunningFleet,
} from '#integration';

/** Memory of the smallest known machine, in MB. */
const MEMORY_LIMIT_MB = 250;

/** Memory of the machines in the settings, which the processes must stay within, in MB. */
export type MachineMemory = {readonly entry: number; readonly endpoint: number};

const smallestMachines: MachineMemory = {entry: MEMORY_LIMIT_MB, endpoint: MEMORY_LIMIT_MB};

const MAX_DESCRIPTORS = 1000;

const MAX_BODY_BYTES = 768 * 1024;

const CALLERS = 300;

const PLAY_MS = 3000;

/** Status with which the service answers the crowd; it keeps nothing of a request that it refuses. */
const ANSWER_STATUS = 409;

const HEAD = 'POST /services/notices/bookings HTTP/1.1\r\nHost: entry.example\r\nContent-Type: text/plain\r\n';

/** Where a crowd connects. */
export type Port = 'callers of the entry' | 'peers of the entry' | 'peers of the endpoint';

/** Bodies of callers with a key, and of callers without. */
export const bodies = createBodyScripts({head: `${HEAD}Authorization: Bearer ${CLERK_KEY}\r\n`, maxBytes: MAX_BODY_BYTES});
export const keylessBodies = createBodyScripts({head: HEAD, maxBytes: MAX_BODY_BYTES}).map(({name, script}) => ({name: `${name}, without a key`, script}));

export type CrowdCase = {readonly port: Port; readonly answerMs: number; readonly scripts: readonly NamedScript[]};

export async function testCrowds(cases: readonly CrowdCase[], memoryMb = smallestMachines): Promise<void> {
	for (const {port, answerMs, scripts} of cases) {
		for (const {name, script} of scripts) {
			await t.test(`${port}: ${name}${answerMs === 0 ? '' : `, answered after ${answerMs} ms`}`, {timeout: 120_000}, async t => {
				const running = await startFleet({
					rules: baseRules('service notices idempotency=none # asked by Ruwan: notices may be read again'), services: [{service: 'notices'}], daemonSettings: role => [`memory-mb = ${memoryMb[role]}`, `max-open-files = ${MAX_DESCRIPTORS}`], daemonEnv: MEASURED_ENV,
				});
				t.teardown(async () => stopFleet(running));
				const [entry] = running.fleet.entries;
				const [endpoint] = running.fleet.endpoints;
				await running.fleet.setFaults(endpoint!.backendUrl, {delayMs: answerMs, status: ANSWER_STATUS});
				const result = await playCrowd({
					target: addressOf(running, port), callers: CALLERS, script, playMs: PLAY_MS, pids: [entry!.daemon.pid, endpoint!.daemon.pid], request: async () => listNotices(entry!.url),
				});
				t.comment(describeCrowd(result));
				for (const [i, {daemon, limitMb}] of [{daemon: entry!.daemon, limitMb: memoryMb.entry}, {daemon: endpoint!.daemon, limitMb: memoryMb.endpoint}].entries()) {
					const peak = result.peaks[i]!;
					t.ok(daemon.running, `${daemon.name} runs`);
					t.ok(peak.memoryMb < limitMb, `${daemon.name}: peak of ${Math.round(peak.memoryMb)} MB`);
					t.ok(peak.descriptors < MAX_DESCRIPTORS, `${daemon.name}: ${peak.descriptors} descriptors`);
				}

				t.equal(result.afterwards.at(-1), '200', 'an ordinary request is served afterwards');
			});
		}
	}
}

function addressOf({fleet}: RunningFleet, port: Port): Address {
	switch (port) {
		case 'callers of the entry': {
			return parseAddress(new URL(fleet.entries[0]!.url).host)!;
		}

		case 'peers of the entry': {
			return parseAddress(fleet.entries[0]!.address)!;
		}

		case 'peers of the endpoint': {
			return parseAddress(fleet.endpoints[0]!.address)!;
		}
	}
}

/** Sends an ordinary request. */
async function listNotices(url: string): Promise<string> {
	const {hostname, port} = new URL(url);
	return requestStatus({
		host: hostname, port, path: '/services/notices/bookings', headers: {Authorization: `Bearer ${CLERK_KEY}`},
	});
}
