/** Propagates the abort of a caller's signal to the controllers of individual calls. */
import type {Teardown} from '#core';

type SignalGroup = {readonly controllers: Set<AbortController>; readonly listener: () => void};

/**
 * One listener per signal, regardless of the number of calls that share it, because Node warns about a leak above
 * ten listeners. `AbortSignal.any` is no alternative: its signals stay in memory as long as a long-lived source signal (Node 20).
 */
const groups = new WeakMap<AbortSignal, SignalGroup>();

/** Aborts `controller` when `outer` aborts, or immediately if it has already aborted. The teardown ends the propagation. */
export function propagateAbort(outer: AbortSignal | undefined, controller: AbortController): Teardown {
	if (outer === undefined) {
		return () => undefined;
	}

	if (outer.aborted) {
		controller.abort(outer.reason);
		return () => undefined;
	}

	const group = groups.get(outer) ?? createGroup(outer);
	group.controllers.add(controller);
	return () => {
		group.controllers.delete(controller);
		if (group.controllers.size === 0 && groups.get(outer) === group) {
			outer.removeEventListener('abort', group.listener);
			groups.delete(outer);
		}
	};
}

function createGroup(outer: AbortSignal): SignalGroup {
	const controllers = new Set<AbortController>();
	const listener = () => {
		groups.delete(outer);
		for (const controller of controllers) {
			controller.abort(outer.reason);
		}
	};

	const group: SignalGroup = {controllers, listener};
	outer.addEventListener('abort', listener, {once: true});
	groups.set(outer, group);
	return group;
}
