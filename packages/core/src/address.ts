/** Addresses of sockets. */

/** A host and a port. */
export type Address = {
	/** Name or IP number, IPv6 without brackets. */
	readonly host: string;
	/** 0 lets the system choose a free port; only where the process listens. */
	readonly port: number;
};

/** Splits `HOST:PORT` at its last colon; checks neither part. */
export function splitAddress(text: string): Address {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
