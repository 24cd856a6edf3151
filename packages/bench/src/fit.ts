/** One measurement. */
export type Point = {readonly x: number; readonly y: number};

/** Result of a linear fit. */
export type Line = {readonly slope: number; readonly intercept: number};

/** Least-squares fit; a constant if all points have the same x, zero if there are none. */
export function fitLine(points: readonly Point[]): Line {
	const n = points.length;
	let sumX = 0;
	let sumY = 0;
	let sumXx = 0;
	let sumXy = 0;
	for (const {x, y} of points) {
		sumX += x;
		sumY += y;
		sumXx += x * x;
		sumXy += x * y;
	}

	const denominator = (n * sumXx) - (sumX * sumX);
	const slope = denominator === 0 ? 0 : ((n * sumXy) - (sumX * sumY)) / denominator;
	return {slope, intercept: n === 0 ? 0 : (sumY - (slope * sumX)) / n};
}
