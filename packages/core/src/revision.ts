/** Whether a value of another process can be a version or revision: a larger one, or none that can be compared, would never be replaced. */
export function isRevision(value: unknown): value is number {
	return typeof value === 'number' && value >= 0 && value <= Number.MAX_SAFE_INTEGER;
}
