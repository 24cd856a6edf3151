/** Faults of the platform stand-in that tests switch over `POST /faults`. */
import {z} from 'zod';

/** Faults in force. */
export const faultsSchema = z.object({
	/** Every call is answered with 503 and every watch ends. */
	down: z.boolean(),
	/** Delay in ms before a call is carried out, so a write can take effect after its caller gave up. */
	slowMs: z.number().nonnegative(),
	/** With `after-write`, writes are carried out but the connection closes without an answer. */
	loseAnswers: z.enum(['none', 'after-write']),
	/** Writes that lose their answer before `loseAnswers` returns to `none`. */
	loseCount: z.number().int().nonnegative(),
	/** Changes that are left out of all watches before they are shown again. */
	watchSkip: z.number().int().nonnegative(),
});

/** Faults in force. */
export type Faults = z.infer<typeof faultsSchema>;

/** A change of faults; what is left out stays as it is. */
export const faultsChangeSchema = faultsSchema.partial().strict();

/** No fault. */
export const NO_FAULTS: Faults = {
	down: false, slowMs: 0, loseAnswers: 'none', loseCount: 0, watchSkip: 0,
};

/** Applies a change; `after-write` without a count loses one answer. */
export function changeFaults(faults: Faults, change: z.infer<typeof faultsChangeSchema>): Faults {
	const defined = Object.fromEntries(Object.entries(change).filter(([, value]) => value !== undefined)) as Partial<Faults>;
	const next = {...faults, ...defined};
	if (change.loseAnswers === 'after-write' && change.loseCount === undefined) {
		next.loseCount = 1;
	}

	if (next.loseCount === 0) {
		next.loseAnswers = 'none';
	}

	return next;
}
