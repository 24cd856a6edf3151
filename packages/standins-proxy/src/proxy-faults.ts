/** Faults of the TCP proxy. */
import {z} from 'zod';
import {InputError} from '#core';

/** `up` is towards the target, `down` towards the client. */
export type Direction = 'up' | 'down';

const faultsSchema = z.strictObject({
	/**
	 * `both` resets all connections once; `up` and `down` discard the bytes of that
	 * direction until the fault is cleared by `none`, which resets the connections that lost bytes.
	 */
	cut: z.enum(['none', 'up', 'down', 'both']),
	/** Milliseconds added to each piece of data in each direction. */
	delayMs: z.number().nonnegative(),
	/** Bytes per second of each connection and direction; 0 means no limit. */
	bytesPerSecond: z.number().nonnegative(),
	/** Nothing is forwarded; data is kept and forwarded after the release. */
	frozen: z.boolean(),
	/** New connections are reset. */
	refuse: z.boolean(),
	/** After this many more bytes, counted over all connections, the connection that carries the next one is closed; null for none. */
	dropAfterBytes: z.int().nonnegative().nullable(),
});

/** Faults in force. */
export type ProxyFaults = Readonly<z.infer<typeof faultsSchema>>;

export const NO_FAULTS: ProxyFaults = {
	cut: 'none', delayMs: 0, bytesPerSecond: 0, frozen: false, refuse: false, dropAfterBytes: null,
};

/** Parses the body of `POST /faults`. @throws InputError for unknown names and values out of range. */
export function parseProxyFaults(body: unknown): Partial<ProxyFaults> {
	const parsed = faultsSchema.partial().safeParse(body);
	if (!parsed.success) {
		throw new InputError(`faults: ${z.prettifyError(parsed.error)}`);
	}

	return parsed.data as Partial<ProxyFaults>;
}
