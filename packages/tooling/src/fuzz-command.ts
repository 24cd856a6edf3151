import type {AsyncCommand} from 'fast-check';

/** Creates a command of a stateful property test without a precondition. `label` is its name in counterexamples. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
export function createFuzzCommand<Model extends object, Real>(label: string, run: (model: Model, real: Real) => Promise<void> | void): AsyncCommand<Model, Real> {
	return {
		check: () => true,
		run: async (model, real) => run(model, real),
		toString: () => label,
	};
}

/** Runs one command of a stateful property test against the system under test and updates the model. */
export type FuzzStep<Model, Real> = (real: Real, model: Model) => Promise<unknown> | void;

/**
 * Returns a function that creates commands of a stateful property test.
 *
 * @param afterEach - Runs after each command, for example to let promises settle and to check the model.
 */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
export function createFuzzCommandFactory<Model extends object, Real>(afterEach: (model: Model, real: Real) => Promise<void> | void): (
	label: string,
	step: FuzzStep<Model, Real>,
) => AsyncCommand<Model, Real> {
	return (label, step) => createFuzzCommand<Model, Real>(label, async (model, real) => {
		await step(real, model);
		await afterEach(model, real);
	});
}
