/** Faults that tests inject through `POST /faults`. */
import {z} from 'zod';
import {InputError} from '#core';

const faultsSchema = z.strictObject({
	/** A request whose prompt contains this text crashes the engine in the first step of the request. */
	crashOn: z.string().min(1).nullable(),
	/** Time in milliseconds for which the engine resets connections after a crash. */
	restartMs: z.number().nonnegative(),
	/** Time in milliseconds without steps, starting when the fault is set. */
	stallMs: z.number().nonnegative(),
	/** Factor by which the step time is multiplied. */
	slowFactor: z.number().positive(),
	/** Executes orders regardless of their fencing token. */
	ignoreFence: z.boolean(),
	/** Delay of `/v1/load` and `/v1/expert-load` in milliseconds. */
	loadLagMs: z.number().nonnegative(),
	/** Delay of `/v1/cache-events` in milliseconds. */
	eventLagMs: z.number().nonnegative(),
	/** Fraction of cache events that are lost, 0 to 1. */
	dropCacheEvents: z.number().min(0).max(1),
	/** Number of positions by which the popularity of experts is rotated. */
	expertShift: z.int().nonnegative(),
	/** Status with which new requests are refused; null for none. */
	refuse: z.int().min(400).max(599).nullable(),
	/** Generates another text than other engines do for the same request. */
	otherText: z.boolean(),
});

/** Active faults. */
export type EngineFaults = Readonly<z.infer<typeof faultsSchema>>;

/** A change of some faults; the others keep their values. */
export type FaultChange = Partial<EngineFaults>;

/** Parses the body of `POST /faults`. @throws InputError for unknown names and out-of-range values. */
export function parseFaultChange(body: unknown): FaultChange {
	const parsed = faultsSchema.partial().safeParse(body);
	if (!parsed.success) {
		throw new InputError(`faults: ${z.prettifyError(parsed.error)}`);
	}

	return parsed.data as FaultChange;
}
