/** Steps of stateful property tests that decide the fates of a memory store's calls. */
import fc, {type Arbitrary, type AsyncCommand} from 'fast-check';
import {CALL_OUTCOMES, type MemoryStore} from './memory-store.js';

/** Creates one step, as `fuzzCommands` of `#tooling` returns it. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
type CreateCommand<Model extends object, Real> = (label: string, step: (real: Real) => Promise<unknown> | void) => AsyncCommand<Model, Real>;

/** Waiting or delayed calls among which a step chooses. */
const MAX_INDEX = 5;
/** How often a step on one call stands in the list; fast-check chooses evenly. */
const STEP_WEIGHT = 3;

/** Steps that answer, lose, delay or refuse one waiting call, carry out a delayed one, or play an outage after a write. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
export function storeCommands<Model extends object, Real extends {readonly store: MemoryStore}>(create: CreateCommand<Model, Real>): ReadonlyArray<Arbitrary<AsyncCommand<Model, Real>>> {
	const step = fc.tuple(fc.nat(MAX_INDEX), fc.constantFrom(...CALL_OUTCOMES))
		.map(([index, fate]) => create(`step ${index} ${fate}`, async ({store}) => store.step(index, fate)));
	const deliver = fc.nat(MAX_INDEX).map(index => create(`deliver ${index}`, ({store}) => {
		store.executeDelayed(index);
	}));
	const outage = fc.constantFrom('lose-answer', 'lose-request', 'delay')
		.map(fate => create(`outage after a write with ${fate}`, async ({store}) => store.simulateOutage(fate)));
	return [...Array.from({length: STEP_WEIGHT}, () => step), deliver, outage];
}
