/** Fingerprint of a request: equal for every resend of the same call, through whichever entry. */
import {hashHex} from '#routing';

/**
 * @param model - Model or service as the caller named it.
 * @param path - Request path.
 * @param body - Request body as text; headers and caller ids are left out, since resends change them.
 * @returns 16 hex digits.
 */
export function fingerprintOf(model: string, path: string, body: string): string {
	return hashHex(`${model}\n${path}\n${body}`);
}
