import {setTimeout as sleep} from 'node:timers/promises';

const POLL_MS = 20;

/**
 * Polls until a condition holds. The timeout only ends a test that hangs; it does not check how fast the condition comes true.
 *
 * @throws Error with the description after the timeout.
 */
export async function waitUntil(description: string, condition: () => Promise<boolean> | boolean, timeoutMs = 180_000): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	while (Date.now() < deadline) {
		if (await condition()) {
			return;
		}

		await sleep(POLL_MS);
	}

	throw new Error(`timed out waiting until ${description}`);
}
