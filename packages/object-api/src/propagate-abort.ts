/** Passes the abort of a caller's signal on to the controllers of single calls. */
import type {Teardown} from '#core';

type Group = {readonly controllers: Set<AbortController>; readonly listener: () => void};

/**
 * One listener per signal, however many calls share it: Node warns of a leak above ten listeners.
 * `AbortSignal.any` is no alternative, as its signals stay in memory for as long as a long-lived source (Node 20).
 */
const groups = new WeakMap<AbortSignal, Group>();

/** Aborts `controller` when `outer` aborts; at once if it has aborted already. The teardown ends the link. */
export function linkAbort(outer: AbortSignal | undefined, controller: AbortController): Teardown {
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

function createGroup(outer: AbortSignal): Group {
	const controllers = new Set<AbortController>();
	const listener = () => {
		groups.delete(outer);
		for (const controller of controllers) {
			controller.abort(outer.reason);
		}
	};

	const group: Group = {controllers, listener};
	outer.addEventListener('abort', listener, {once: true});
	groups.set(outer, group);
	return group;
}
