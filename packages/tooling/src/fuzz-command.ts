import type {AsyncCommand} from 'fast-check';

/** Step of a stateful property test that can always run. `label` names it in a counterexample. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
export function createFuzzCommand<Model extends object, Real>(label: string, run: (model: Model, real: Real) => Promise<void> | void): AsyncCommand<Model, Real> {
	return {
		check: () => true,
		run: async (model, real) => run(model, real),
		toString: () => label,
	};
}
