/** Waits `ms` milliseconds; ends at once when the signal aborts. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
	if (ms <= 0 || signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const done = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', done);
			resolve();
		};

		const timer = setTimeout(done, ms);
		signal?.addEventListener('abort', done, {once: true});
	});
}
