/** Types and schemas of claims of idempotency keys, as stored and as returned. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {z} from 'zod';
import type {StoreFailure} from './object-store.js';

/** Number of shards; the hash of a claim's key selects its shard. */
export const CLAIM_SHARDS = 64;

/** Bytes of a response body that are stored with the outcome. */
export const MAX_OUTCOME_BYTES = 2048;

/** Hex digits of a truncated SHA-256 hash. Callers choose their keys, so a hash with feasible collisions would leak responses to other callers. */
const HASH_DIGITS = 32;

const outcomeSchema = z.object({
	status: z.number().int(),
	body: z.string().max(4 * Math.ceil(MAX_OUTCOME_BYTES / 3)),
	complete: z.boolean(),
	contentType: z.string().max(256).optional(),
});

/** One claim in a head or segment. */
export const entrySchema = z.object({
	key: z.string().min(1),
	body: z.string(),
	claimId: z.string().min(1),
	claimant: z.string(),
	/** Time of the claim in ms. */
	at: z.number(),
	state: z.enum(['claimed', 'done', 'released']),
	outcome: outcomeSchema.optional(),
});

/** Head of a shard. Segments `firstSegment` to `nextSegment - 1` are live; those in `expired` are being deleted. */
export const headSchema = z.object({
	writeId: z.string(),
	firstSegment: z.number().int().nonnegative(),
	nextSegment: z.number().int().nonnegative(),
	expired: z.array(z.number().int().nonnegative()),
	entries: z.array(entrySchema),
});

/** Sealed, immutable segment. */
export const segmentSchema = z.object({entries: z.array(entrySchema)});

/** One claim as stored. */
export type ClaimEntry = Readonly<z.infer<typeof entrySchema>>;

/** Head of a shard as stored. */
export type ClaimHead = Readonly<z.infer<typeof headSchema>>;

/** Outcome of a call: status, the first 2 KiB of its body in base64, and whether that is the whole body. */
export type ClaimOutcome = Readonly<z.infer<typeof outcomeSchema>>;

/** Identifies the call that a claim is for. */
export type ClaimKey = {
	readonly workspace: string;
	readonly service: string;
	readonly idempotencyKey: string;
};

/** A request for a claim. */
export type ClaimRequest = {
	readonly key: ClaimKey;
	/** Hash of the call's body, from `hashClaimBody`. */
	readonly bodyHash: string;
	/** Unique id of this claim, chosen by the claimant. Repeating the request with the same id, through any process, refers to the same claim. */
	readonly claimId: string;
	/** Process that will send the call, with its incarnation. */
	readonly claimant: string;
};

/** Store failure of a batch; `postponed` if the batch could not be written in time because of the call budget or concurrent writers. */
export type ClaimFailure = StoreFailure | {readonly kind: 'invalid' | 'postponed'; readonly reason: string};

/**
 * Response to an operation that failed. With `recorded: 'unknown'` the operation may have been stored
 * or may still be: the claimant repeats it, or releases the claim if it abandons the call.
 */
export type ClaimUnavailable = {readonly kind: 'unavailable'; readonly recorded: 'no' | 'unknown'; readonly failure: ClaimFailure};

/**
 * Response to a claim request.
 *
 * - `granted`: the claimant may send the call, once.
 * - `held`: another claim holds the key for the same body, and its outcome is not known yet.
 * - `done`: the call was executed; this is its outcome.
 * - `key-reused`: the key was claimed for another body.
 * - `withdrawn`: this claim was released before.
 */
export type ClaimResponse
	= | {readonly kind: 'granted'}
		| {readonly kind: 'held'; readonly claimId: string; readonly claimant: string; readonly at: number}
		| {readonly kind: 'done'; readonly outcome: ClaimOutcome}
		| {readonly kind: 'key-reused'}
		| {readonly kind: 'withdrawn'}
		| ClaimUnavailable;

/** Response to recording an outcome. `not-held`: this claim does not hold the key, or its retention time has passed. */
export type FinishResponse = {readonly kind: 'not-held' | 'recorded'} | ClaimUnavailable;

/** Response to a release. `already-done`: an outcome is recorded, so the claim is kept. */
export type ReleaseClaimResponse = {readonly kind: 'already-done' | 'released'} | ClaimUnavailable;

/** One operation on a shard. */
export type ClaimOperation
	= | {readonly kind: 'claim'; readonly key: string; readonly body: string; readonly claimId: string; readonly claimant: string}
		| {readonly kind: 'finish'; readonly key: string; readonly claimId: string; readonly outcome: ClaimOutcome}
		| {readonly kind: 'release'; readonly key: string; readonly claimId: string};

/** Hashes a claim key to 32 hex digits. */
export function hashClaimKey({workspace, service, idempotencyKey}: ClaimKey): string {
	return digest(JSON.stringify([workspace, service, idempotencyKey]));
}

/** Hashes the body of a call to 32 hex digits. */
export function hashClaimBody(body: Uint8Array): string {
	return digest(body);
}

/** Shard of a key, from 0 to 63. */
export function shardOfClaim(key: ClaimKey): number {
	return shardOfHash(hashClaimKey(key));
}

/** Shard of a hashed key. */
export function shardOfHash(hash: string): number {
	return Number.parseInt(hash.slice(0, 8), 16) % CLAIM_SHARDS;
}

/** Creates the outcome of a call from its status and body; a body over 2 KiB is truncated and marked as incomplete. */
export function createClaimOutcome(status: number, body: Uint8Array): ClaimOutcome {
	return {
		status,
		body: Buffer.from(body.subarray(0, MAX_OUTCOME_BYTES)).toString('base64'),
		complete: body.length <= MAX_OUTCOME_BYTES,
	};
}

function digest(data: Uint8Array | string): string {
	return createHash('sha256').update(data).digest('hex').slice(0, HASH_DIGITS);
}
