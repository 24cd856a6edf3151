/** Faults of the TCP proxy. */
import {z} from 'zod';
import {InputError} from '#core';

/** Direction of data: `up` to the target, `down` to the client. */
export type Direction = 'up' | 'down';

const faultsSchema = z.strictObject({
	/**
	 * `both` resets all connections once. `up` and `down` discard the bytes of that direction
	 * until `none` clears the fault, which also resets the connections that lost bytes.
	 */
	cut: z.enum(['none', 'up', 'down', 'both']),
	/** Delay of each chunk of data in each direction, in milliseconds. */
	delayMs: z.number().nonnegative(),
	/** Rate limit of each connection and direction in bytes per second; 0 for none. */
	bytesPerSecond: z.number().nonnegative(),
	/** Nothing is forwarded; data is buffered until the fault is cleared. */
	frozen: z.boolean(),
	/** New connections are reset. */
	refuse: z.boolean(),
	/** After this many more bytes over all connections, the connection of the next byte is closed; null for no limit. */
	dropAfterBytes: z.int().nonnegative().nullable(),
});

/** Active faults. */
export type ProxyFaults = Readonly<z.infer<typeof faultsSchema>>;

export const NO_FAULTS: ProxyFaults = {
	cut: 'none', delayMs: 0, bytesPerSecond: 0, frozen: false, refuse: false, dropAfterBytes: null,
};

/** Parses the body of `POST /faults`. @throws InputError for unknown names and out-of-range values. */
export function parseProxyFaults(body: unknown): Partial<ProxyFaults> {
	const parsed = faultsSchema.partial().safeParse(body);
	if (!parsed.success) {
		throw new InputError(`faults: ${z.prettifyError(parsed.error)}`);
	}

	return parsed.data as Partial<ProxyFaults>;
}
