/**
 * A text whose version only grows, passed between peers as the lines that changed. Two
 * texts travel this way: the rules and the directory's list.
 */
import {invariant} from '#core';
import {hashHex} from '#routing';

/** Old versions kept, so that a peer a few versions behind is sent lines and not the whole. */
const HISTORY = 8;

/** A text and its version; version 0 is the empty text that everybody starts with. */
export type VersionedText = {
	readonly version: number;
	readonly text: string;
};

/** What a peer is sent to reach a version. `keepStart` and `keepEnd` count lines of the base text. */
export type TextUpdate = {
	readonly version: number;
	/** Version that the lines apply to; 0 for the whole text. */
	readonly base: number;
	readonly keepStart: number;
	readonly keepEnd: number;
	readonly lines: readonly string[];
	/** Xxhash64 of the resulting text. */
	readonly hash: string;
};

/** Result of applying an update. */
export type ApplyResult
	= | {readonly kind: 'replaced'; readonly history: TextHistory}
	/** The update's version is not newer than the one held. */
		| {readonly kind: 'old'}
	/** The base is not held, or the result has another hash; the whole text must be asked for. */
		| {readonly kind: 'mismatch'};

function splitLines(text: string): readonly string[] {
	return text === '' ? [] : text.split('\n');
}

function commonStart(a: readonly string[], b: readonly string[]): number {
	const limit = Math.min(a.length, b.length);
	let count = 0;
	while (count < limit && a[count] === b[count]) {
		count += 1;
	}

	return count;
}

/** The newest text and some before it. Immutable. */
export class TextHistory {
	static create(): TextHistory {
		return new TextHistory([{version: 0, text: ''}]);
	}

	readonly #versions: readonly VersionedText[];

	private constructor(versions: readonly VersionedText[]) {
		this.#versions = versions;
	}

	/** The newest text. */
	get newest(): VersionedText {
		const newest = this.#versions.at(-1);
		invariant(newest !== undefined, 'text history: no version held');
		return newest;
	}

	/** Adds a newer text. A version that is not newer leaves the history as it is, so a text never reverts. */
	with(next: VersionedText): TextHistory {
		if (next.version <= this.newest.version) {
			return this;
		}

		return new TextHistory([...this.#versions, next].slice(-HISTORY));
	}

	/** The update that brings a peer from `have` to the newest text. */
	updateFrom(have: number): TextUpdate {
		const {version, text} = this.newest;
		const base = this.#versions.find(candidate => candidate.version === have) ?? {version: 0, text: ''};
		const before = splitLines(base.text);
		const after = splitLines(text);
		const keepStart = commonStart(before, after);
		const keepEnd = commonStart(before.slice(keepStart).toReversed(), after.slice(keepStart).toReversed());
		return {
			version, base: base.version, keepStart, keepEnd, lines: after.slice(keepStart, after.length - keepEnd), hash: hashHex(text),
		};
	}

	/** Applies a peer's update. */
	apply(update: TextUpdate): ApplyResult {
		if (update.version <= this.newest.version) {
			return {kind: 'old'};
		}

		const base = update.base === 0 ? {version: 0, text: ''} : this.#versions.find(({version}) => version === update.base);
		if (base === undefined) {
			return {kind: 'mismatch'};
		}

		const before = splitLines(base.text);
		const start = before.slice(0, update.keepStart);
		const end = update.keepEnd === 0 ? [] : before.slice(-update.keepEnd);
		const text = [...start, ...update.lines, ...end].join('\n');
		if (hashHex(text) !== update.hash) {
			return {kind: 'mismatch'};
		}

		return {kind: 'replaced', history: this.with({version: update.version, text})};
	}
}
