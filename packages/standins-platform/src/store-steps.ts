/** Steps of stateful property tests that decide the fates of a memory store's calls. */
import fc, {type Arbitrary, type AsyncCommand} from 'fast-check';
import {CALL_FATES, type MemoryStore} from './memory-store.js';

/** Creates one step, as `createFuzzCommandFactory` of `#tooling` returns it. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
type CreateStep<Model extends object, Real> = (label: string, step: (real: Real) => Promise<unknown> | void) => AsyncCommand<Model, Real>;

/** Waiting or delayed calls among which a step chooses. */
const MAX_INDEX = 5;
/** How often a step on one call stands in the list; fast-check chooses evenly. */
const STEP_WEIGHT = 3;

/** Steps that answer, lose, delay or refuse one waiting call, carry out a delayed one, or play an outage after a write. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
export function storeSteps<Model extends object, Real extends {readonly store: MemoryStore}>(create: CreateStep<Model, Real>): ReadonlyArray<Arbitrary<AsyncCommand<Model, Real>>> {
	const step = fc.tuple(fc.nat(MAX_INDEX), fc.constantFrom(...CALL_FATES))
		.map(([index, fate]) => create(`step ${index} ${fate}`, async ({store}) => store.step(index, fate)));
	const deliver = fc.nat(MAX_INDEX).map(index => create(`deliver ${index}`, ({store}) => {
		store.deliverDelayed(index);
	}));
	const outage = fc.constantFrom('lose-answer', 'lose-request', 'delay')
		.map(fate => create(`outage after a write with ${fate}`, async ({store}) => store.playOutage(fate)));
	return [...Array.from({length: STEP_WEIGHT}, () => step), deliver, outage];
}
