/** Commands of model-based property tests that choose the outcomes of a memory store's calls. */
import fc, {type Arbitrary, type AsyncCommand} from 'fast-check';
import {CALL_OUTCOMES, type MemoryStore} from './memory-store.js';

/** Creates one command, as returned by `createFuzzCommandFactory` of `#tooling`. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
type CreateCommand<Model extends object, Real> = (label: string, step: (real: Real) => Promise<unknown> | void) => AsyncCommand<Model, Real>;

/** Maximum index of the pending or delayed call that a command chooses. */
const MAX_INDEX = 5;
/** Number of times that the command on one call is listed, since fast-check chooses with equal probability. */
const STEP_WEIGHT = 3;

/** Commands that respond to one pending call, lose its request or response, delay or refuse it, execute a delayed one, or simulate an outage after a write. */
// eslint-disable-next-line @typescript-eslint/no-restricted-types -- fast-check restricts its models in this way.
export function storeCommands<Model extends object, Real extends {readonly store: MemoryStore}>(create: CreateCommand<Model, Real>): ReadonlyArray<Arbitrary<AsyncCommand<Model, Real>>> {
	const step = fc.tuple(fc.nat(MAX_INDEX), fc.constantFrom(...CALL_OUTCOMES))
		.map(([index, outcome]) => create(`step ${index} ${outcome}`, async ({store}) => store.step(index, outcome)));
	const deliver = fc.nat(MAX_INDEX).map(index => create(`deliver ${index}`, ({store}) => {
		store.executeDelayed(index);
	}));
	const outage = fc.constantFrom('lose-response', 'lose-request', 'delay')
		.map(outcome => create(`outage after a write with ${outcome}`, async ({store}) => store.simulateOutage(outcome)));
	return [...Array.from({length: STEP_WEIGHT}, () => step), deliver, outage];
}
