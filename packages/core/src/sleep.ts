/** Waits for `ms` milliseconds; resolves early if the signal aborts. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
	if (ms <= 0 || signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, ms);
		signal?.addEventListener('abort', finish, {once: true});
	});
}
