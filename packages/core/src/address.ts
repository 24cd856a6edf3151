/** Socket addresses. */

/** A host and a port. */
export type Address = {
	/** Host name or IP address; IPv6 without brackets. */
	readonly host: string;
	/** 0 selects a free port; only valid for listening addresses. */
	readonly port: number;
};

/** Splits `HOST:PORT` at the last colon without validating either part. */
export function splitAddress(text: string): Address {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
