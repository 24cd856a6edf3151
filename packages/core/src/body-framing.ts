/** How the body of an HTTP response is delimited (RFC 9112, section 6.3). */

/**
 * - `framed`: by a length or by chunks, so that a truncated body is noticed.
 * - `unframed`: only by the end of the connection, so that a truncated body looks complete.
 * - `unsupported`: by a transfer coding that requests do not offer.
 */
export type BodyFraming = 'framed' | 'unframed' | 'unsupported';

/** Headers by lower-case name. */
type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** Reads the framing from the head of a response that has a body. */
export function bodyFramingOf(headers: Headers): BodyFraming {
	const transferEncoding = headers['transfer-encoding'];
	if (transferEncoding === undefined) {
		return headers['content-length'] === undefined ? 'unframed' : 'framed';
	}

	const codings = String(transferEncoding).toLowerCase().split(',').map(coding => coding.trim());
	if (codings.every(coding => coding === '' || coding === 'identity')) {
		return 'unframed';
	}

	return codings.length === 1 && codings[0] === 'chunked' ? 'framed' : 'unsupported';
}

/** Length of the body that a head announces, in bytes; undefined if it announces none. */
export function announcedBytes(headers: Headers): number | undefined {
	const length = headers['content-length'];
	return length === undefined || headers['transfer-encoding'] !== undefined ? undefined : Number(length);
}
