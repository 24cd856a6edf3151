/** Fingerprint of a request: equal for every resend of the same call, whichever entry receives it. */
import {hashHex} from '#routing';

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
