/**
 * In-memory object store for tests without sockets. Each call is pending until the test
 * chooses its outcome, so that any order of events and any lost response can be simulated.
 */
import {ObjectTable, type TableWriteResult} from './object-table.js';
import {failed, ok, type Result} from '#core';
import type {
	ObjectList, ObjectStore, StoredObject, StoreFailure,
} from '#coordination';

/**
 * Outcome of a pending call.
 *
 * - `respond`: executed, and the response is returned.
 * - `lose-response`: executed, then reported as `unavailable` (with effect `unknown` for a write).
 * - `lose-request`: reported in the same way, but never executed.
 * - `delay`: reported in the same way; executed only by a later `executeDelayed`.
 * - `refuse`: not executed and reported as `unavailable` with effect `none`.
 */
export type CallOutcome = 'respond' | 'delay' | 'lose-response' | 'lose-request' | 'refuse';

/** Outcomes for property tests; three in seven are `respond`, so that operations make progress. */
export const CALL_OUTCOMES: readonly CallOutcome[] = ['respond', 'respond', 'respond', 'lose-response', 'lose-request', 'delay', 'refuse'];

/** A call whose outcome is not chosen yet. */
export type PendingCall = {
	/** Process that made the call, as passed to `client`. */
	readonly owner: string;
	readonly kind: 'create' | 'list' | 'read' | 'remove' | 'update';
	/** Object name or prefix. */
	readonly name: string;
};

type Call = PendingCall & {
	readonly execute: () => Result<unknown, StoreFailure>;
	readonly settle: (result: Result<unknown, StoreFailure>) => void;
};

/** Store whose calls are pending until `step`, or are executed immediately with `automatic`. */
export class MemoryStore {
	/** @param mode - `automatic` responds to every call immediately; `stepped` leaves each call pending. */
	static create(mode: 'automatic' | 'stepped' = 'automatic'): MemoryStore {
		return new MemoryStore(mode);
	}

	/** Objects of the store, for assertions and for changes by other writers. */
	readonly table = ObjectTable.create(0);
	/** Whether calls are executed immediately. */
	automatic: boolean;
	/** Number of calls since the store was created. */
	callCount = 0;
	#pending: Call[] = [];
	readonly #delayed: Array<() => Result<unknown, StoreFailure>> = [];

	private constructor(mode: 'automatic' | 'stepped') {
		this.automatic = mode === 'automatic';
	}

	/** Pending calls, oldest first. */
	get pending(): readonly PendingCall[] {
		return this.#pending;
	}

	/** Client of the store for one process. */
	client(owner: string): ObjectStore {
		return {
			read: async name => this.#call(owner, 'read', name, () => this.#read(name)),
			create: async (name, value) => this.#call(owner, 'create', name, () => toResult(this.table.create(name, copy(value)))),
			update: async (name, version, value) => this.#call(owner, 'update', name, () => toResult(this.table.update(name, version, copy(value)))),
			remove: async (name, version) => this.#call(owner, 'remove', name, () => toResult(this.table.remove(name, version), true)),
			list: async prefix => this.#call(owner, 'list', prefix, () => ok(this.#list(prefix))),
		};
	}

	/** Applies an outcome to the pending call at `index` (modulo their number) and lets its caller continue. */
	async step(index: number, outcome: CallOutcome): Promise<void> {
		const [call] = this.#pending.splice(index % Math.max(1, this.#pending.length), 1);
		if (call !== undefined) {
			this.#applyOutcome(call, outcome);
			await flushPromises();
		}
	}

	/** Executes the delayed call at `index` (modulo their number); its caller does not receive the result. */
	executeDelayed(index: number): void {
		const [execute] = this.#delayed.splice(index % Math.max(1, this.#delayed.length), 1);
		execute?.();
	}

	/** Executes all delayed calls. */
	executeAllDelayed(): void {
		while (this.#delayed.length > 0) {
			this.executeDelayed(0);
		}
	}

	/** Simulates an outage: the latest pending write has the given outcome, and all other calls are refused until none is pending. */
	async simulateOutage(outcome: CallOutcome): Promise<void> {
		const writeIndex = this.#pending.findLastIndex(call => call.kind !== 'read' && call.kind !== 'list');
		await this.step(Math.max(0, writeIndex), outcome);
		while (this.#pending.length > 0) {
			await this.step(0, 'refuse');
		}
	}

	/** Drops the pending calls of a crashed process; if they were `sent`, they are executed without a response. */
	kill(owner: string, sent: boolean): void {
		const calls = this.#pending.filter(call => call.owner === owner);
		this.#pending = this.#pending.filter(call => call.owner !== owner);
		for (const call of sent ? calls : []) {
			call.execute();
		}
	}

	/** Responds to all pending calls, and those that their callers make next, until none is pending. */
	async respondToAll(): Promise<void> {
		await flushPromises();
		while (this.#pending.length > 0) {
			await this.step(0, 'respond');
		}
	}

	async #call<Value>(owner: string, kind: PendingCall['kind'], name: string, execute: () => Result<Value, StoreFailure>): Promise<Result<Value, StoreFailure>> {
		this.callCount += 1;
		if (this.automatic) {
			return execute();
		}

		return new Promise(resolve => {
			const resolveCall = (result: Result<unknown, StoreFailure>) => {
				resolve(result as Result<Value, StoreFailure>);
			};

			this.#pending.push({
				owner, kind, name, execute, settle: resolveCall,
			});
		});
	}

	#applyOutcome(call: Call, outcome: CallOutcome): void {
		const unavailable: StoreFailure = {kind: 'unavailable', effect: call.kind === 'read' || call.kind === 'list' ? 'none' : 'unknown'};
		switch (outcome) {
			case 'respond': {
				call.settle(call.execute());
				break;
			}

			case 'lose-response': {
				call.execute();
				call.settle(failed(unavailable));
				break;
			}

			case 'lose-request': {
				call.settle(failed(unavailable));
				break;
			}

			case 'delay': {
				this.#delayed.push(call.execute);
				call.settle(failed(unavailable));
				break;
			}

			case 'refuse': {
				call.settle(failed({kind: 'unavailable', effect: 'none'}));
				break;
			}
		}
	}

	#read(name: string): Result<StoredObject, StoreFailure> {
		const object = this.table.read(name);
		return object === undefined ? failed({kind: 'missing'}) : ok(copy(object));
	}

	#list(prefix: string): ObjectList {
		return {resourceVersion: String(this.table.revision), items: copy(this.table.list(prefix))};
	}
}

/** Waits until all promise callbacks that depend on no further event have run. */
export async function flushPromises(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

/** Copies a value through JSON, which drops undefined fields as the platform does. */
function copy<Value>(value: Value): Value {
	const text = JSON.stringify(value);
	return JSON.parse(text) as Value;
}

function toResult(result: TableWriteResult): Result<StoredObject, StoreFailure>;
function toResult(result: TableWriteResult, withoutValue: true): Result<undefined, StoreFailure>;
function toResult(result: TableWriteResult, withoutValue?: true): Result<StoredObject | undefined, StoreFailure> {
	if (result.kind !== 'done') {
		return failed({kind: result.kind});
	}

	return ok(withoutValue ? undefined : copy(result.object));
}
