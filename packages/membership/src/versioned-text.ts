/**
 * A text with a monotonically increasing version, transferred between peers as a diff of lines. It is used for
 * the rules and for the list of machines.
 */
import {invariant} from '#core';
import {hashHex} from '#routing';

/** Versions kept, so that a peer that is a few versions behind receives a diff instead of the whole text. */
const MAX_VERSIONS = 8;

/** A text and its version; version 0 is the initial, empty text. */
export type VersionedText = {
	readonly version: number;
	readonly text: string;
};

/** Update of a peer's text to a version: `lines` replace all of the base text but its first `keepStart` and last `keepEnd` lines. */
export type TextUpdate = {
	readonly version: number;
	/** Version of the base text; 0 if the update contains the whole text. */
	readonly base: number;
	readonly keepStart: number;
	readonly keepEnd: number;
	readonly lines: readonly string[];
	/** Xxhash64 of the resulting text, 16 hex digits. */
	readonly hash: string;
};

/** Result of applying an update. */
export type ApplyResult
	= | {readonly kind: 'replaced'; readonly history: TextHistory}
	/** The version of the update is not newer than the current one. */
		| {readonly kind: 'old'}
	/** The base version is not available or the hash of the result differs; the whole text must be requested. */
		| {readonly kind: 'mismatch'};

function splitLines(text: string): readonly string[] {
	return text === '' ? [] : text.split('\n');
}

function commonPrefixLength(a: readonly string[], b: readonly string[]): number {
	const limit = Math.min(a.length, b.length);
	let count = 0;
	while (count < limit && a[count] === b[count]) {
		count += 1;
	}

	return count;
}

/** The newest text and some earlier versions; immutable. */
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

	/** Adds a newer text. A version that is not newer returns the same history, so a text never reverts. */
	with(next: VersionedText): TextHistory {
		if (next.version <= this.newest.version) {
			return this;
		}

		return new TextHistory([...this.#versions, next].slice(-MAX_VERSIONS));
	}

	/** Creates the update from version `have` to the newest text; it contains the whole text if that version is not available. */
	updateFrom(have: number): TextUpdate {
		const {version, text} = this.newest;
		const base = this.#versions.find(candidate => candidate.version === have) ?? {version: 0, text: ''};
		const before = splitLines(base.text);
		const after = splitLines(text);
		const keepStart = commonPrefixLength(before, after);
		const keepEnd = commonPrefixLength(before.slice(keepStart).toReversed(), after.slice(keepStart).toReversed());
		return {
			version, base: base.version, keepStart, keepEnd, lines: after.slice(keepStart, after.length - keepEnd), hash: hashHex(text),
		};
	}

	/** Applies an update from a peer. */
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
