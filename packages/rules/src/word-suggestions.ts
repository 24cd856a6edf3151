// Shorter prefixes would match by chance.
const MIN_PREFIX_CHARS = 3;

/**
 * Finds the allowed word that a mistyped word most likely stands for.
 *
 * @returns Undefined if no allowed word is a prefix of it, starts with it or differs from it in at most a third of its letters.
 */
export function closestWord(word: string, allowed: readonly string[]): string | undefined {
	const lower = word.toLowerCase();
	const ranked = allowed
		.map(candidate => ({candidate, distance: wordDistance(lower, candidate.toLowerCase())}))
		.filter(({distance}) => distance !== undefined)
		.toSorted((a, b) => (a.distance ?? 0) - (b.distance ?? 0));
	return ranked[0]?.candidate;
}

/** Distance between two similar words, or undefined if they are not similar. */
function wordDistance(word: string, candidate: string): number | undefined {
	const lengthDifference = Math.abs(candidate.length - word.length);
	const isPrefix = Math.min(word.length, candidate.length) >= MIN_PREFIX_CHARS
		&& (word.startsWith(candidate) || candidate.startsWith(word));
	if (isPrefix) {
		return lengthDifference;
	}

	// Most pairs differ too much in length, which avoids computing the edit distance.
	const distance = lengthDifference > maxDistance(candidate) ? Number.POSITIVE_INFINITY : editDistance(word, candidate);
	return distance <= maxDistance(candidate) ? distance : undefined;
}

/** Lists the allowed words, with the most likely one as a suggestion if there is one. */
export function describeAllowedWords(word: string, allowed: readonly string[]): string {
	const list = allowed.length === 1 ? `${allowed[0]}` : `one of ${allowed.join(', ')}`;
	const suggestion = closestWord(word, allowed);
	return suggestion === undefined ? list : `${list}; did you mean ${suggestion}?`;
}

function maxDistance(candidate: string): number {
	return Math.max(1, Math.floor(candidate.length / 3));
}

/** Optimal string alignment distance: insertions, deletions, substitutions and transpositions of adjacent characters. */
function editDistance(a: string, b: string): number {
	const rows = [Array.from({length: b.length + 1}, (_, j) => j)];
	for (let i = 1; i <= a.length; i += 1) {
		const row = [i];
		rows.push(row);
		for (let j = 1; j <= b.length; j += 1) {
			row.push(cellDistance(a, b, [i, j], rows));
		}
	}

	return rows.at(-1)?.at(-1) ?? 0;
}

function cellDistance(a: string, b: string, [i, j]: readonly [number, number], rows: ReadonlyArray<readonly number[]>): number {
	const at = (row: number, column: number) => rows[row]?.[column] ?? Number.POSITIVE_INFINITY;
	const cost = a[i - 1] === b[j - 1] ? 0 : 1;
	const isTransposition = i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1];
	return Math.min(
		at(i - 1, j) + 1,
		at(i, j - 1) + 1,
		at(i - 1, j - 1) + cost,
		isTransposition ? at(i - 2, j - 2) + 1 : Number.POSITIVE_INFINITY,
	);
}
