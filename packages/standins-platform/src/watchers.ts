/** Open watches of the platform stand-in. */
import type {ServerResponse} from 'node:http';
import type {Change, ObjectTable} from './object-table.js';

type Watcher = {readonly prefix: string; readonly res: ServerResponse};

/** Sends changes and bookmarks to all open watches. */
export class Watchers {
	/**
	 * @param bookmarkMs - Interval of bookmarks in ms.
	 * @param skip - Called for each change; if it returns true, no watch receives the change.
	 */
	static create(table: ObjectTable, bookmarkMs: number, skip: () => boolean): Watchers {
		return new Watchers(table, bookmarkMs, skip);
	}

	readonly #table: ObjectTable;
	readonly #open = new Set<Watcher>();
	readonly #timer: NodeJS.Timeout;
	readonly #removeListener: () => void;

	private constructor(table: ObjectTable, bookmarkMs: number, skip: () => boolean) {
		this.#table = table;
		this.#timer = setInterval(() => {
			this.#sendBookmarks();
		}, bookmarkMs);
		this.#removeListener = table.registerListener(change => {
			if (!skip()) {
				this.#sendChange(change);
			}
		});
	}

	/** Responds with a stream of the changes after `revision`. */
	open(prefix: string, revision: number, res: ServerResponse): void {
		res.writeHead(200, {'content-type': 'application/json'});
		res.flushHeaders();
		const missedChanges = this.#table.changesAfter(revision);
		if (missedChanges === undefined) {
			res.end(`${JSON.stringify({type: 'ERROR', object: {code: 410, message: 'the version is too old'}})}\n`);
			return;
		}

		const watcher: Watcher = {prefix, res};
		for (const change of missedChanges) {
			sendTo(watcher, change);
		}

		this.#open.add(watcher);
		res.on('close', () => {
			this.#open.delete(watcher);
		});
	}

	/** Ends all watches. */
	endAll(): void {
		for (const {res} of this.#open) {
			res.end();
		}

		this.#open.clear();
	}

	/** Ends all watches and stops sending bookmarks. */
	close(): void {
		clearInterval(this.#timer);
		this.#removeListener();
		this.endAll();
	}

	#sendChange(change: Change): void {
		for (const watcher of this.#open) {
			sendTo(watcher, change);
		}
	}

	#sendBookmarks(): void {
		const line = `${JSON.stringify({type: 'BOOKMARK', object: {resourceVersion: String(this.#table.revision)}})}\n`;
		for (const {res} of this.#open) {
			res.write(line);
		}
	}
}

function sendTo({prefix, res}: Watcher, {type, object}: Change): void {
	if (object.name.startsWith(prefix)) {
		res.write(`${JSON.stringify({type, object})}\n`);
	}
}
