/**
 * How long an entry waits for others to confirm its configuration before it reads the register itself. Answers fleets
 * of many entries: the one that all others ask reads, and they read only when it cannot, one after the other.
 */

/** Time between two reads, in ms: half of the shortest time in which a change must be in force. */
const REFRESH_INTERVAL_MS = 1000;

/** Each entry waits this much longer than the one before it, in ms: an exchange between entries takes up to 200 ms and a round trip. */
const STAGGER_MS = 250;

/** Turns that are told apart. Beyond them a change would not be in force in time if all entries before had lost the register. */
const MAX_STAGGER_STEPS = 3;

/**
 * Age of the confirmation from which an entry reads the register, in ms.
 *
 * @param asked - Entries in reach that this one asks regularly.
 */
export function refreshAgeMs(asked: number): number {
	return REFRESH_INTERVAL_MS + (Math.min(asked, MAX_STAGGER_STEPS) * STAGGER_MS);
}
