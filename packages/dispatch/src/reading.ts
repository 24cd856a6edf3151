/** Order of what is read from the registry. Revisions are given out again when it returns from an old copy, which raises its era. */

/** When something was written: an era, and a revision within it. */
export type Reading = {
	readonly revision: number;
	/** Absent if the registry has no eras. */
	readonly era?: number | undefined;
};

/** Whether `a` was written after `b`. */
export function isLaterReading(a: Reading, b: Reading): boolean {
	const [eraOfA, eraOfB] = [a.era ?? 0, b.era ?? 0];
	return eraOfA === eraOfB ? a.revision > b.revision : eraOfA > eraOfB;
}

/** The latest of some readings, without other fields. */
export function latestReading(first: Reading, ...others: ReadonlyArray<Reading | undefined>): Reading {
	let latest = first;
	for (const other of others) {
		latest = other !== undefined && isLaterReading(other, latest) ? other : latest;
	}

	const {revision, era} = latest;
	return era === undefined ? {revision} : {revision, era};
}
