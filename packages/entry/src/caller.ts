/** Who calls: the workspace that a bearer key names, and the headers that a caller may set. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';
import {workspaceByKeyHash, type RuleSet, type WorkspaceRule} from '#rules';

/** Deadline to the first byte when the caller names none. */
const DEFAULT_DEADLINE_MS = 60_000;
const MAX_DEADLINE_MS = 3_600_000;

/** Headers of a caller that are passed on to a back end. */
const PASSED_ON = ['content-type', 'accept', 'idempotency-key'] as const;

/** SHA-256 of a key as 64 hex digits. */
export function hashKey(key: string): string {
	return createHash('sha256').update(key).digest('hex');
}

function bearerOf(headers: IncomingHttpHeaders): string | undefined {
	return /^Bearer (?<key>\S+)$/iu.exec(headers.authorization ?? '')?.groups?.key;
}

/** The workspace whose key the request carries; undefined for a missing or wrong key. */
export function workspaceOf(ruleSet: RuleSet, headers: IncomingHttpHeaders): WorkspaceRule | undefined {
	const key = bearerOf(headers);
	return key === undefined ? undefined : workspaceByKeyHash(ruleSet, hashKey(key));
}

/** True if the request carries the operators' key. */
export function isOperator(operatorKeyHash: string, headers: IncomingHttpHeaders): boolean {
	const key = bearerOf(headers);
	if (key === undefined) {
		return false;
	}

	const expected = Buffer.from(operatorKeyHash);
	const actual = Buffer.from(hashKey(key));
	return expected.length === actual.length && timingSafeEqual(expected, actual);
}

/** When the first byte is due, ms since the epoch; undefined if the header is not a number of milliseconds. */
export function deadlineOf(headers: IncomingHttpHeaders, now: number): number | undefined {
	const text = headers['x-deadline-ms'];
	if (text === undefined) {
		return now + DEFAULT_DEADLINE_MS;
	}

	const deadline = Number(text);
	return Number.isFinite(deadline) && deadline > 0 && deadline <= MAX_DEADLINE_MS ? now + deadline : undefined;
}

/** Headers that go on to the back end. The caller's key never does. */
export function passedOnHeaders(headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
	return Object.fromEntries(PASSED_ON
		.filter(name => typeof headers[name] === 'string')
		.map(name => [name, String(headers[name])]));
}
