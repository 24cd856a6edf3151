/** Propagates the abort of a caller's signal to the controllers of individual calls. */
import type {Teardown} from '#core';

type SignalGroup = {readonly controllers: Set<AbortController>; readonly listener: () => void};

/**
 * One listener per signal, regardless of the number of calls that share it, because Node warns about a leak above
 * ten listeners. `AbortSignal.any` is no alternative: its signals stay in memory as long as their source (Node 20).
 */
const groups = new WeakMap<AbortSignal, SignalGroup>();

/** Aborts `controller` when `source` aborts, or immediately if it has already aborted. The teardown ends the propagation. */
export function propagateAbort(source: AbortSignal | undefined, controller: AbortController): Teardown {
	if (source === undefined) {
		return () => undefined;
	}

	if (source.aborted) {
		controller.abort(source.reason);
		return () => undefined;
	}

	const group = groups.get(source) ?? createGroup(source);
	group.controllers.add(controller);
	return () => {
		group.controllers.delete(controller);
		if (group.controllers.size === 0 && groups.get(source) === group) {
			source.removeEventListener('abort', group.listener);
			groups.delete(source);
		}
	};
}

function createGroup(source: AbortSignal): SignalGroup {
	const controllers = new Set<AbortController>();
	const listener = () => {
		groups.delete(source);
		for (const controller of controllers) {
			controller.abort(source.reason);
		}
	};

	const group: SignalGroup = {controllers, listener};
	source.addEventListener('abort', listener, {once: true});
	groups.set(source, group);
	return group;
}
