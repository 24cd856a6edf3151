/** Objects of the platform stand-in, with their versions and a bounded history of changes. */

/** One object as it is returned to clients. */
export type TableObject = {
	readonly name: string;
	readonly resourceVersion: string;
	readonly value: unknown;
};

/** One change, as a watch reports it. */
export type Change = {
	readonly type: 'ADDED' | 'DELETED' | 'MODIFIED';
	readonly revision: number;
	readonly object: TableObject;
};

/** Result of a write. */
export type TableWriteResult
	= | {readonly kind: 'conflict' | 'missing'}
		| {readonly kind: 'done'; readonly object: TableObject};

/** Objects by name; every write increments the revision of the whole table by one. */
export class ObjectTable {
	/** Creates an empty table that keeps the last `historyLimit` changes for watches. */
	static create(historyLimit: number): ObjectTable {
		return new ObjectTable(historyLimit);
	}

	#revision = 1;
	#compactedRevision = 1;
	#history: Change[] = [];
	readonly #historyLimit: number;
	readonly #objects = new Map<string, TableObject>();
	readonly #listeners = new Set<(change: Change) => void>();

	private constructor(historyLimit: number) {
		this.#historyLimit = historyLimit;
	}

	/** Revision of the latest write. */
	get revision(): number {
		return this.#revision;
	}

	/** The object with this name, or undefined. */
	read(name: string): TableObject | undefined {
		return this.#objects.get(name);
	}

	/** Objects whose names start with a prefix, sorted by name. */
	list(prefix: string): readonly TableObject[] {
		return [...this.#objects.values()]
			.filter(object => object.name.startsWith(prefix))
			.toSorted((a, b) => a.name < b.name ? -1 : 1);
	}

	/** Creates an object; `conflict` if it exists. */
	create(name: string, value: unknown): TableWriteResult {
		return this.#objects.has(name) ? {kind: 'conflict'} : this.#write('ADDED', name, value);
	}

	/** Replaces an object if it has the given version. */
	update(name: string, resourceVersion: string, value: unknown): TableWriteResult {
		const checked = this.#checkVersion(name, resourceVersion);
		return checked.kind === 'done' ? this.#write('MODIFIED', name, value) : checked;
	}

	/** Deletes an object if it has the given version. */
	remove(name: string, resourceVersion: string): TableWriteResult {
		const checked = this.#checkVersion(name, resourceVersion);
		return checked.kind === 'done' ? this.#write('DELETED', name, checked.object.value) : checked;
	}

	/** Changes after a revision, or undefined if some of them are no longer in the history. */
	changesAfter(revision: number): readonly Change[] | undefined {
		return revision < this.#compactedRevision ? undefined : this.#history.filter(change => change.revision > revision);
	}

	/** Discards the history, so that every watch from an earlier revision is too old. */
	compactHistory(): void {
		this.#history = [];
		this.#compactedRevision = this.#revision;
	}

	/** Registers a listener that is called after each change; returns a function that removes it. */
	registerListener(listener: (change: Change) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	#checkVersion(name: string, resourceVersion: string): TableWriteResult {
		const object = this.#objects.get(name);
		if (object === undefined) {
			return {kind: 'missing'};
		}

		return object.resourceVersion === resourceVersion ? {kind: 'done', object} : {kind: 'conflict'};
	}

	#write(type: Change['type'], name: string, value: unknown): TableWriteResult {
		this.#revision += 1;
		const object: TableObject = {name, resourceVersion: String(this.#revision), value};
		if (type === 'DELETED') {
			this.#objects.delete(name);
		} else {
			this.#objects.set(name, object);
		}

		const change: Change = {type, revision: this.#revision, object};
		this.#history.push(change);
		if (this.#history.length > this.#historyLimit) {
			this.#compactedRevision = this.#history.shift()!.revision;
		}

		for (const listener of this.#listeners) {
			listener(change);
		}

		return {kind: 'done', object};
	}
}
