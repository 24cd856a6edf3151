/** Result of an operation that can fail in an expected way. */
export type Result<Value, Failure>
	= | {readonly kind: 'ok'; readonly value: Value}
		| {readonly kind: 'failed'; readonly failure: Failure};

/** Creates a success. */
export function ok<Value>(value: Value): Result<Value, never> {
	return {kind: 'ok', value};
}

/** Creates an expected failure. */
export function failed<Failure>(failure: Failure): Result<never, Failure> {
	return {kind: 'failed', failure};
}
