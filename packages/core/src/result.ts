/** Outcome of an operation that can fail in an expected way. */
export type Result<Value, Failure>
	= | {readonly kind: 'ok'; readonly value: Value}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** Wraps a value as a success. */
export function ok<Value>(value: Value): Result<Value, never> {
	return {kind: 'ok', value};
}

/** Wraps an expected failure. */
export function failed<Failure>(failure: Failure): Result<never, Failure> {
	return {kind: 'failed', failure};
}
