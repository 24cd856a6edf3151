/** A promise together with the function that resolves it. */
export type Deferred<Value> = {
	readonly promise: Promise<Value>;
	/** Resolves the promise; calls after the first have no effect. */
	readonly resolve: (value: Value) => void;
};

export function createDeferred<Value>(): Deferred<Value> {
	let resolvePromise: ((value: Value) => void) | undefined;
	const promise = new Promise<Value>(resolve => {
		resolvePromise = resolve;
	});
	return {
		promise,
		resolve(value) {
			resolvePromise?.(value);
		},
	};
}
