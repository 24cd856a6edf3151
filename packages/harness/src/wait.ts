import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 20;

/** Polls until a condition holds. The limit only ends a test that hangs; it is no bound on the time. */
export async function waitUntil(what: string, condition: () => Promise<boolean> | boolean, limitMs = 180_000): Promise<void> {
	const end = Date.now() + limitMs;
	while (Date.now() < end) {
		if (await condition()) {
			return;
		}

		await sleep(POLL_MS);
	}

	throw new Error(`never came true: ${what}`);
}
