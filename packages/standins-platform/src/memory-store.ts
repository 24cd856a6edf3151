/**
 * Object store in memory for tests without sockets. Calls wait until the test decides
 * their fate, so that every order of events and every lost answer can be played.
 */
import {ObjectTable, type WriteOutcome} from './object-table.js';
import {failed, ok, type Result} from '#core';
import type {
	ObjectList, ObjectStore, StoredObject, StoreFailure,
} from '#coordination';

/**
 * Fate of a waiting call.
 *
 * - `answer`: carried out and answered.
 * - `lose-answer`: carried out, then reported as `unavailable` (`unknown` for a write).
 * - `lose-request`: reported in the same way, but never carried out.
 * - `delay`: reported in the same way; carried out only by a later `deliverDelayed`.
 * - `refuse`: not carried out and reported as `unavailable` with effect `none`.
 */
export type CallOutcome = 'answer' | 'delay' | 'lose-answer' | 'lose-request' | 'refuse';

/** Fates for random tests; three in seven are answers, so that operations make progress. */
export const CALL_OUTCOMES: readonly CallOutcome[] = ['answer', 'answer', 'answer', 'lose-answer', 'lose-request', 'delay', 'refuse'];

/** A call that waits for its fate. */
export type PendingCall = {
	/** Process that made the call, as named in `client`. */
	readonly owner: string;
	readonly kind: 'create' | 'list' | 'read' | 'remove' | 'update';
	/** Object name or prefix. */
	readonly name: string;
};

type Call = PendingCall & {
	readonly execute: () => Result<unknown, StoreFailure>;
	readonly settle: (result: Result<unknown, StoreFailure>) => void;
};

/** Store whose calls wait for `step`, or are carried out at once with `automatic`. */
export class MemoryStore {
	/** @param mode - `automatic` answers every call at once; `stepped` makes each call wait. */
	static create(mode: 'automatic' | 'stepped' = 'automatic'): MemoryStore {
		return new MemoryStore(mode);
	}

	/** Objects of the store, for checks and for changes by somebody else. */
	readonly table = ObjectTable.create(0);
	/** Carries calls out at once while true. */
	automatic: boolean;
	/** Calls made since the start. */
	callCount = 0;
	#pending: Call[] = [];
	readonly #delayed: Array<() => Result<unknown, StoreFailure>> = [];

	private constructor(mode: 'automatic' | 'stepped') {
		this.automatic = mode === 'automatic';
	}

	/** Calls that wait for their fate, oldest first. */
	get pending(): readonly PendingCall[] {
		return this.#pending;
	}

	/** A handle for one process. */
	client(owner: string): ObjectStore {
		return {
			read: async name => this.#call(owner, 'read', name, () => this.#read(name)),
			create: async (name, value) => this.#call(owner, 'create', name, () => toResult(this.table.create(name, copy(value)))),
			update: async (name, version, value) => this.#call(owner, 'update', name, () => toResult(this.table.update(name, version, copy(value)))),
			remove: async (name, version) => this.#call(owner, 'remove', name, () => toResult(this.table.remove(name, version), true)),
			list: async prefix => this.#call(owner, 'list', prefix, () => ok(this.#list(prefix))),
		};
	}

	/** Decides the fate of the waiting call at `index` (taken modulo their number) and lets its caller run on. */
	async step(index: number, fate: CallOutcome): Promise<void> {
		const [call] = this.#pending.splice(index % Math.max(1, this.#pending.length), 1);
		if (call !== undefined) {
			this.#applyOutcome(call, fate);
			await flushPromises();
		}
	}

	/** Carries out the delayed call at `index` (taken modulo their number); its caller never hears of it. */
	executeDelayed(index: number): void {
		const [carryOut] = this.#delayed.splice(index % Math.max(1, this.#delayed.length), 1);
		carryOut?.();
	}

	/** Carries out all delayed calls. */
	executeAllDelayed(): void {
		while (this.#delayed.length > 0) {
			this.executeDelayed(0);
		}
	}

	/** Plays an outage: the newest waiting write has the given fate, and every other call is refused until none waits. */
	async simulateOutage(fate: CallOutcome): Promise<void> {
		const write = this.#pending.findLastIndex(call => call.kind !== 'read' && call.kind !== 'list');
		await this.step(Math.max(0, write), fate);
		while (this.#pending.length > 0) {
			await this.step(0, 'refuse');
		}
	}

	/** Drops the waiting calls of a process that died; those `sent` are carried out without an answer. */
	kill(owner: string, sent: boolean): void {
		const calls = this.#pending.filter(call => call.owner === owner);
		this.#pending = this.#pending.filter(call => call.owner !== owner);
		for (const call of sent ? calls : []) {
			call.execute();
		}
	}

	/** Answers all waiting calls, and those that follow from them, until none is left. */
	async answerAll(): Promise<void> {
		await flushPromises();
		while (this.#pending.length > 0) {
			await this.step(0, 'answer');
		}
	}

	async #call<Value>(owner: string, kind: PendingCall['kind'], name: string, carryOut: () => Result<Value, StoreFailure>): Promise<Result<Value, StoreFailure>> {
		this.callCount += 1;
		if (this.automatic) {
			return carryOut();
		}

		return new Promise(resolve => {
			const settleCall = (result: Result<unknown, StoreFailure>) => {
				resolve(result as Result<Value, StoreFailure>);
			};

			this.#pending.push({
				owner, kind, name, execute: carryOut, settle: settleCall,
			});
		});
	}

	#applyOutcome(call: Call, fate: CallOutcome): void {
		const lost: StoreFailure = {kind: 'unavailable', effect: call.kind === 'read' || call.kind === 'list' ? 'none' : 'unknown'};
		switch (fate) {
			case 'answer': {
				call.settle(call.execute());
				break;
			}

			case 'lose-answer': {
				call.execute();
				call.settle(failed(lost));
				break;
			}

			case 'lose-request': {
				call.settle(failed(lost));
				break;
			}

			case 'delay': {
				this.#delayed.push(call.execute);
				call.settle(failed(lost));
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

/** Lets all promise callbacks run that need no further event. */
export async function flushPromises(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}

/** A value as it comes back from the store: a copy through JSON, which drops undefined fields as the platform does. */
function copy<Value>(value: Value): Value {
	const text = JSON.stringify(value);
	return JSON.parse(text) as Value;
}

function toResult(outcome: WriteOutcome): Result<StoredObject, StoreFailure>;
function toResult(outcome: WriteOutcome, withoutValue: true): Result<undefined, StoreFailure>;
function toResult(outcome: WriteOutcome, withoutValue?: true): Result<StoredObject | undefined, StoreFailure> {
	if (outcome.kind !== 'done') {
		return failed({kind: outcome.kind});
	}

	return ok(withoutValue ? undefined : copy(outcome.object));
}
