/** Distribution of the load of experts over the ranks that hold them. */

/** Number of copies of each expert. `placement` lists the experts of each rank. */
export function countCopies(placement: ReadonlyArray<readonly number[]>, experts: number): number[] {
	const copies = Array.from({length: experts}, () => 0);
	for (const expert of placement.flat()) {
		copies[expert] = (copies[expert] ?? 0) + 1;
	}

	return copies;
}

/** Load of each rank. The load of an expert is split evenly over its copies. */
export function rankLoads(placement: ReadonlyArray<readonly number[]>, load: readonly number[]): number[] {
	const copies = countCopies(placement, load.length);
	return placement.map(experts => {
		let sum = 0;
		for (const expert of experts) {
			sum += (load[expert] ?? 0) / (copies[expert] ?? 1);
		}

		return sum;
	});
}
