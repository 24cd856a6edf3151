/** A start that can be abandoned. */

/**
 * Runs a start whose parts end when `stop` aborts, and aborts it if the start fails, or if `signal` aborts before it has settled.
 * Rejects with the reason of `signal` in the latter case.
 */
export async function startUnlessAborted<Result>(start: () => Promise<Result>, stop: AbortController, signal?: AbortSignal): Promise<Result> {
	const abort = () => {
		stop.abort(signal?.reason);
	};

	signal?.throwIfAborted();
	signal?.addEventListener('abort', abort, {once: true});
	try {
		const result = await start();
		stop.signal.throwIfAborted();
		return result;
	} catch (error) {
		stop.abort(error);
		throw error;
	} finally {
		signal?.removeEventListener('abort', abort);
	}
}
