import {InvariantError} from './errors.js';

/**
 * Asserts that a condition holds.
 *
 * @param condition - The condition that must hold.
 * @param description - Describes the violation, for example `lease: fence decreased from 7 to 6`.
 * @throws InvariantError if `condition` is false.
 */
export function invariant(condition: boolean, description: string): asserts condition {
	if (!condition) {
		throw new InvariantError(`invariant broken: ${description}`);
	}
}

/**
 * Marks the unreachable default branch of an exhaustive switch.
 *
 * @throws InvariantError always; the type checker proves that it is not reached for typed input.
 */
export function unreachable(value: never): never {
	throw new InvariantError(`invariant broken: unexpected variant ${JSON.stringify(value)}`);
}
