/**
 * The kernel holds an immutable state snapshot and does not depend on any feature. Features
 * register command handlers and listeners; each registration returns its teardown.
 */
import {invariant} from './invariant.js';

/** Removes a registration. Calling it twice has no effect. */
export type Teardown = () => void;

/** A typed command. The type parameter is the type of the payload. */
export type Command<Payload> = {
	readonly name: string;
	/** Never set at run time; only carries the payload type. */
	readonly payload?: Payload;
};

/** Called after an update with the new and the previous snapshot. */
export type UpdateListener<Snapshot> = (next: Snapshot, prev: Snapshot) => void;

/** Handles a command. Returns true to stop propagation to further handlers. */
export type CommandHandler<Payload> = (payload: Payload) => boolean;

/** Creates a command. Commands are compared by identity. */
export function createCommand<Payload>(name: string): Command<Payload> {
	return {name};
}

/** Returns a teardown that runs all given teardowns in reverse order. */
export function mergeTeardowns(...teardowns: readonly Teardown[]): Teardown {
	return () => {
		for (const teardown of teardowns.toReversed()) {
			teardown();
		}
	};
}

/**
 * Holds a snapshot, replaces it atomically in an update, then notifies the listeners.
 *
 * @typeParam Snapshot - An immutable value. Listeners run only if the update replaced it by another object.
 */
export class Kernel<Snapshot extends Record<string, unknown>> {
	static create<Snapshot extends Record<string, unknown>>(initial: Snapshot): Kernel<Snapshot> {
		return new Kernel(initial);
	}

	#snapshot: Snapshot;
	#isUpdating = false;
	readonly #listeners = new Set<UpdateListener<Snapshot>>();
	readonly #handlers = new Map<Command<unknown>, Set<CommandHandler<never>>>();

	private constructor(initial: Snapshot) {
		this.#snapshot = initial;
	}

	/** The current snapshot. */
	get snapshot(): Snapshot {
		return this.#snapshot;
	}

	/**
	 * Replaces the snapshot by the value that `updater` returns, then runs the listeners.
	 *
	 * @throws InvariantError if called from within `updater`.
	 */
	update(updater: (prev: Snapshot) => Snapshot): void {
		invariant(!this.#isUpdating, 'kernel: update called inside an update');
		const prev = this.#snapshot;
		this.#isUpdating = true;
		try {
			this.#snapshot = updater(prev);
		} finally {
			this.#isUpdating = false;
		}

		if (this.#snapshot === prev) {
			return;
		}

		const next = this.#snapshot;
		for (const listener of this.#listeners) {
			listener(next, prev);
		}
	}

	/** Registers a listener that runs after each update that replaces the snapshot. */
	registerUpdateListener(listener: UpdateListener<Snapshot>): Teardown {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Registers a handler of a command. Handlers run in registration order. */
	registerCommand<Payload>(command: Command<Payload>, handler: CommandHandler<Payload>): Teardown {
		const handlers = this.#handlers.get(command) ?? new Set<CommandHandler<never>>();
		this.#handlers.set(command, handlers);
		handlers.add(handler);
		return () => {
			handlers.delete(handler);
		};
	}

	/**
	 * Runs the handlers of a command until one returns true.
	 *
	 * @returns True if a handler handled the command.
	 */
	dispatch<Payload>(command: Command<Payload>, payload: Payload): boolean {
		const handlers = this.#handlers.get(command) ?? new Set<CommandHandler<never>>();
		for (const handler of handlers) {
			if ((handler as CommandHandler<Payload>)(payload)) {
				return true;
			}
		}

		return false;
	}
}
