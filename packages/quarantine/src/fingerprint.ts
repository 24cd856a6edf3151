/** Fingerprint of a request: equal for every resend of the same call, whichever entry receives it. */
import {hashHex, hashPartsHex} from '#routing';

/**
 * Computes the fingerprint of a request.
 *
 * @param model - Model or service as named by the caller.
 * @param path - Request path.
 * @param body - Request body as text. Headers and caller ids are not included, since they change with each resend.
 * @returns 16 hex digits.
 */
export function fingerprintOf(model: string, path: string, body: string): string {
	return hashHex(`${model}\n${path}\n${body}`);
}

/** A call that is forwarded as it is, whose content only the endpoint understands. */
export type OpaqueCall = {
	/** Undefined for callers without a key. */
	readonly workspace: string | undefined;
	readonly method: string;
	readonly host: string;
	/** Path with query. */
	readonly path: string;
	readonly body: Uint8Array;
};

/**
 * Computes the fingerprint of an opaque call. Headers are not included, since ids and deadlines change with each resend.
 *
 * @returns 16 hex digits.
 */
export function fingerprintOfCall({workspace, method, host, path, body}: OpaqueCall): string {
	return hashPartsHex([`${workspace ?? ''}\n${method} ${host}${path}\n`, body]);
}
