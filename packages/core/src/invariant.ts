import {InvariantError} from './errors.js';

/**
 * Throws when a condition of the program does not hold.
 *
 * @param condition - The condition that must hold.
 * @param broken - Names the broken condition, for example `lease: fence decreased from 7 to 6`.
 * @throws InvariantError when `condition` is false.
 */
export function invariant(condition: boolean, broken: string): asserts condition {
	if (!condition) {
		throw new InvariantError(`invariant broken: ${broken}`);
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
