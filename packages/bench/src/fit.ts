/** One measured point. */
export type Point = {readonly x: number; readonly y: number};

/** A straight line through measured points. */
export type Line = {readonly slope: number; readonly intercept: number};

/** Least-squares line; a constant through a single point. */
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

	const spread = (n * sumXx) - (sumX * sumX);
	const slope = spread === 0 ? 0 : ((n * sumXy) - (sumX * sumY)) / spread;
	return {slope, intercept: n === 0 ? 0 : (sumY - (slope * sumX)) / n};
}
