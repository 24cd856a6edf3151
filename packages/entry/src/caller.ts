/** Authentication of callers, and the request headers that they may set. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';
import {type Arrival} from '#requests';
import {workspaceByKeyHash, type RuleSet, type WorkspaceRule} from '#rules';

/** Deadline for the first byte if the caller sets none. */
const DEFAULT_DEADLINE_MS = 60_000;
const MAX_DEADLINE_MS = 3_600_000;

/** The entry ends a request this long after its deadline, in ms, since the caller may count from the end of its own sending. */
const OWN_END_MARGIN_MS = 100;

/** Request headers that are forwarded to the back end. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key'] as const;

/** SHA-256 of a key as 64 hexadecimal digits. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

function bearerToken(headers: IncomingHttpHeaders): string | undefined {
	return /^Bearer (?<key>\S+)$/iu.exec(headers.authorization ?? '')?.groups?.key;
}

/** The workspace that the bearer key belongs to; undefined if the key is missing or unknown. */
export function authenticateWorkspace(ruleSet: RuleSet, headers: IncomingHttpHeaders): WorkspaceRule | undefined {
	const key = bearerToken(headers);
	return key === undefined ? undefined : workspaceByKeyHash(ruleSet, hashKey(key));
}

/** True if the request carries the operator key. */
export function isOperator(operatorKeyHash: string, headers: IncomingHttpHeaders): boolean {
	const key = bearerToken(headers);
	if (key === undefined) {
		return false;
	}

	const expected = Buffer.from(operatorKeyHash);
	const actual = Buffer.from(hashKey(key));
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

/** Deadline for the first byte. The arrival of a request is known within bounds, and so is its deadline. */
export type Deadline = {
	/** At the earliest, ms since the epoch: nothing is sent to an endpoint after it, and none is told a later one. */
	readonly sendBy: number;
	/** When it has surely passed for the caller, on the monotonic clock in ms: the request is ended then, and not before. */
	readonly endAt: number;
};

/** The deadline of a request; undefined if the `x-deadline-ms` header is not a number of milliseconds within bounds. */
export function parseDeadline(headers: IncomingHttpHeaders, {earliest, latest}: Arrival): Deadline | undefined {
	const text = headers['x-deadline-ms'];
	const timeMs = text === undefined ? DEFAULT_DEADLINE_MS : Number(text);
	return Number.isFinite(timeMs) && timeMs > 0 && timeMs <= MAX_DEADLINE_MS
		? {sendBy: earliest.wallMs + timeMs, endAt: latest.monotonicMs + timeMs + OWN_END_MARGIN_MS}
		: undefined;
}

/** The headers to forward to the back end. The bearer key is never forwarded. */
export function forwardedHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
	return Object.fromEntries(FORWARDED_HEADERS
		.filter(name => typeof headers[name] === 'string')
		.map(name => [name, String(headers[name])]));
}
