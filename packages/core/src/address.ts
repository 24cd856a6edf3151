/** Socket addresses. */
import {isIPv4} from 'node:net';

/** A host and a port. */
export type Address = {
	/** Host name or IP address; IPv6 without brackets. */
	readonly host: string;
	/** 0 selects a free port; only valid for listening addresses. */
	readonly port: number;
};

/** Largest port of TCP. */
const MAX_PORT = 65_535;

/** Reads `IPV4:PORT`; undefined if the text is anything else. */
export function parseAddress(text: string): Address | undefined {
	const {host, port} = splitAddress(text);
	return isIPv4(host) && /:\d{1,5}$/u.test(text) && port >= 1 && port <= MAX_PORT ? {host, port} : undefined;
}

/** Splits `HOST:PORT` at the last colon without validating either part; {@link parseAddress} reads untrusted text. */
export function splitAddress(text: string): Address {
	const colon = text.lastIndexOf(':');
	return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
