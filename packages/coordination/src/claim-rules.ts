/** Decides on one operation from the entry that is stored for its key. */
import type {
	ClaimResponse, ClaimEntry, ClaimOperation, FinishResponse, ReleaseClaimResponse,
} from './claim-types.js';

/** Answers of the three operations when they can be carried out. */
export type OperationResponse = ClaimResponse | FinishResponse | ReleaseClaimResponse;

/** Answer to an operation, and the entry to store if the operation changes anything. */
export type Decision = {readonly answer: OperationResponse; readonly entry?: ClaimEntry};

/**
 * Decides on an operation.
 *
 * @param found - Entry of the key within its retention, if any.
 * @param now - Time in ms, kept with a new claim.
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
		return {answer: answerOwnClaim(found)};
	}

	if (found === undefined || found.state === 'released') {
		const entry: ClaimEntry = {
			key, body, claimId, claimant, at: now, state: 'claimed',
		};
		return {answer: {kind: 'granted'}, entry};
	}

	if (found.body !== body) {
		return {answer: {kind: 'key-reused'}};
	}

	return {
		answer: found.outcome === undefined
			? {
				kind: 'held', claimId: found.claimId, claimant: found.claimant, at: found.at,
			}
			: {kind: 'done', outcome: found.outcome},
	};
}

function answerOwnClaim({state, outcome}: ClaimEntry): ClaimResponse {
	if (state === 'released') {
		return {kind: 'withdrawn'};
	}

	return outcome === undefined ? {kind: 'granted'} : {kind: 'done', outcome};
}

function decideFinish({claimId, outcome}: ClaimOperation & {readonly kind: 'finish'}, found: ClaimEntry | undefined): Decision {
	if (found?.claimId !== claimId || found.state === 'released') {
		return {answer: {kind: 'not-held'}};
	}

	// The first outcome stays: it may have been answered to a caller already.
	return found.state === 'done'
		? {answer: {kind: 'recorded'}}
		: {answer: {kind: 'recorded'}, entry: {...found, state: 'done', outcome}};
}

function decideRelease({key, claimId}: ClaimOperation & {readonly kind: 'release'}, found: ClaimEntry | undefined, now: number): Decision {
	if (found?.claimId === claimId) {
		return decideOwnRelease(found);
	}

	if (found !== undefined && found.state !== 'released') {
		return {answer: {kind: 'released'}};
	}

	// The claim may still be on its way in a write whose answer was lost. Storing the release
	// changes the head's version, so that write can no longer take effect.
	const entry: ClaimEntry = {
		key, body: '', claimId, claimant: '', at: now, state: 'released',
	};
	return {answer: {kind: 'released'}, entry};
}

function decideOwnRelease(found: ClaimEntry): Decision {
	switch (found.state) {
		case 'claimed': {
			return {answer: {kind: 'released'}, entry: {...found, state: 'released'}};
		}

		case 'done': {
			return {answer: {kind: 'already-done'}};
		}

		case 'released': {
			return {answer: {kind: 'released'}};
		}
	}
}
