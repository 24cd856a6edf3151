/** Faults that tests inject over `POST /faults`. */
import {z} from 'zod';
import {InputError} from '#core';

const faultsSchema = z.strictObject({
	/** A request whose prompt contains this text crashes the engine in its first step. */
	crashOn: z.string().min(1).nullable(),
	/** Milliseconds for which the engine refuses connections after a crash. */
	restartMs: z.number().nonnegative(),
	/** Milliseconds without a step, starting when the fault is set. */
	stallMs: z.number().nonnegative(),
	/** Multiplies the step time. */
	slowFactor: z.number().positive(),
	/** Orders are carried out whatever their fencing number. */
	ignoreFence: z.boolean(),
	/** Lag of `/v1/load` and `/v1/expert-load` in milliseconds. */
	loadLagMs: z.number().nonnegative(),
	/** Lag of `/v1/cache-events` in milliseconds. */
	eventLagMs: z.number().nonnegative(),
	/** Share of cache events that are lost, 0 to 1. */
	dropCacheEvents: z.number().min(0).max(1),
	/** Rotates the popularity of experts by this many positions. */
	expertShift: z.int().nonnegative(),
	/** New work is answered with this status. */
	refuse: z.int().min(400).max(599).nullable(),
});

/** Faults in force. */
export type EngineFaults = Readonly<z.infer<typeof faultsSchema>>;

/** A change of some faults; the others stay as they are. */
export type FaultChange = Partial<EngineFaults>;

/** Parses the body of `POST /faults`. @throws InputError for unknown names and values out of range. */
export function parseFaultChange(body: unknown): FaultChange {
	const parsed = faultsSchema.partial().safeParse(body);
	if (!parsed.success) {
		throw new InputError(`faults: ${z.prettifyError(parsed.error)}`);
	}

	return parsed.data as FaultChange;
}
