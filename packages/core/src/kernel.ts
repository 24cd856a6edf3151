/**
 * The kernel holds one immutable snapshot and knows no feature. Features register
 * commands and listeners; each registration returns its teardown.
 */
import {invariant} from './invariant.js';

/** Removes a registration. Calling it twice has no effect. */
export type Teardown = () => void;

/** A typed command. The type parameter is the shape of the payload. */
export type Command<Payload> = {
	readonly name: string;
	/** Never set at run time; carries the payload type. */
	readonly payload?: Payload;
};

/** Receives the snapshot after an update together with the one before it. */
export type UpdateListener<Snapshot> = (next: Snapshot, prev: Snapshot) => void;

/** Handles a command and returns true if no other handler is to run. */
export type CommandHandler<Payload> = (payload: Payload) => boolean;

/** Creates a command; two commands are the same only if they are the same object. */
export function createCommand<Payload>(name: string): Command<Payload> {
	return {name};
}

/** Runs all teardowns in reverse order of registration. */
export function mergeTeardowns(...teardowns: readonly Teardown[]): Teardown {
	return () => {
		for (const teardown of teardowns.toReversed()) {
			teardown();
		}
	};
}

/**
 * Holds a snapshot, replaces it in one update, then tells the listeners.
 *
 * @typeParam Snapshot - An immutable value. Listeners run only when it was replaced by another object.
 */
export class Kernel<Snapshot extends Record<string, unknown>> {
	static create<Snapshot extends Record<string, unknown>>(initial: Snapshot): Kernel<Snapshot> {
		return new Kernel(initial);
	}

	#snapshot: Snapshot;
	#updating = false;
	readonly #listeners = new Set<UpdateListener<Snapshot>>();
	readonly #handlers = new Map<Command<unknown>, Set<CommandHandler<never>>>();

	private constructor(initial: Snapshot) {
		this.#snapshot = initial;
	}

	/** The snapshot in force. */
	get snapshot(): Snapshot {
		return this.#snapshot;
	}

	/**
	 * Replaces the snapshot by the value that `change` returns, then runs the listeners.
	 *
	 * @throws InvariantError when called from within `change`.
	 */
	update(change: (prev: Snapshot) => Snapshot): void {
		invariant(!this.#updating, 'kernel: update called inside an update');
		const prev = this.#snapshot;
		this.#updating = true;
		try {
			this.#snapshot = change(prev);
		} finally {
			this.#updating = false;
		}

		if (this.#snapshot === prev) {
			return;
		}

		const next = this.#snapshot;
		for (const listener of this.#listeners) {
			listener(next, prev);
		}
	}

	/** Registers a listener that runs after each update that replaced the snapshot. */
	registerUpdateListener(listener: UpdateListener<Snapshot>): Teardown {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Registers a handler for a command. Handlers run in the order of registration. */
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
	 * @returns True if a handler took the command.
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
