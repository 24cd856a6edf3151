/** Decides the result of one operation from the entry stored for its key. */
import type {
	ClaimResponse, ClaimEntry, ClaimOperation, FinishResponse, ReleaseClaimResponse,
} from './claim-types.js';

/** Responses to the three operations. */
export type OperationResponse = ClaimResponse | FinishResponse | ReleaseClaimResponse;

/** Response to an operation, and the entry to store if the operation changes anything. */
export type Decision = {readonly response: OperationResponse; readonly entry?: ClaimEntry};

/**
 * Decides the result of an operation.
 *
 * @param found - Stored entry of the key within its retention time, if any.
 * @param now - Time in ms, stored with a new claim.
 */
export function decideOperation(operation: ClaimOperation, found: ClaimEntry | undefined, now: number): Decision {
	switch (operation.kind) {
		case 'claim': {
			return decideClaim(operation, found, now);
		}

		case 'finish': {
			return decideFinish(operation, found);
		}

		case 'release': {
			return decideRelease(operation, found, now);
		}
	}
}

function decideClaim({key, body, claimId, claimant}: ClaimOperation & {readonly kind: 'claim'}, found: ClaimEntry | undefined, now: number): Decision {
	if (found?.claimId === claimId) {
		return {response: respondToOwnClaim(found)};
	}

	if (found === undefined || found.state === 'released') {
		const entry: ClaimEntry = {
			key, body, claimId, claimant, at: now, state: 'claimed',
		};
		return {response: {kind: 'granted'}, entry};
	}

	if (found.body !== body) {
		return {response: {kind: 'key-reused'}};
	}

	return {
		response: found.outcome === undefined
			? {
				kind: 'held', claimId: found.claimId, claimant: found.claimant, at: found.at,
			}
			: {kind: 'done', outcome: found.outcome},
	};
}

function respondToOwnClaim({state, outcome}: ClaimEntry): ClaimResponse {
	if (state === 'released') {
		return {kind: 'withdrawn'};
	}

	return outcome === undefined ? {kind: 'granted'} : {kind: 'done', outcome};
}

function decideFinish({claimId, outcome}: ClaimOperation & {readonly kind: 'finish'}, found: ClaimEntry | undefined): Decision {
	if (found?.claimId !== claimId || found.state === 'released') {
		return {response: {kind: 'not-held'}};
	}

	// The first outcome is never replaced: it may already have been returned to a caller.
	return found.state === 'done'
		? {response: {kind: 'recorded'}}
		: {response: {kind: 'recorded'}, entry: {...found, state: 'done', outcome}};
}

function decideRelease({key, claimId}: ClaimOperation & {readonly kind: 'release'}, found: ClaimEntry | undefined, now: number): Decision {
	if (found?.claimId === claimId) {
		return decideOwnRelease(found);
	}

	if (found !== undefined && found.state !== 'released') {
		return {response: {kind: 'released'}};
	}

	// If the response to a write was lost, that write may still be in flight and store the claim. Storing
	// the release changes the head's version, so that write can no longer take effect.
	const entry: ClaimEntry = {
		key, body: '', claimId, claimant: '', at: now, state: 'released',
	};
	return {response: {kind: 'released'}, entry};
}

function decideOwnRelease(found: ClaimEntry): Decision {
	switch (found.state) {
		case 'claimed': {
			return {response: {kind: 'released'}, entry: {...found, state: 'released'}};
		}

		case 'done': {
			return {response: {kind: 'already-done'}};
		}

		case 'released': {
			return {response: {kind: 'released'}};
		}
	}
}
