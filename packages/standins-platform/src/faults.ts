/** Faults of the platform stand-in that tests inject through `POST /faults`. */
import {z} from 'zod';

/** Schema of the faults. */
export const faultsSchema = z.object({
	/** Every call is refused with 503 and every watch ends. */
	down: z.boolean(),
	/** Delay in ms before a call is executed, so that a write can take effect after its caller timed out. */
	slowMs: z.number().nonnegative(),
	/** With `after-write`, writes are executed but the connection closes without a response. */
	loseAnswers: z.enum(['none', 'after-write']),
	/** Number of writes that lose their response before `loseAnswers` returns to `none`. */
	loseCount: z.number().int().nonnegative(),
	/** Number of subsequent changes that no watch receives. */
	watchSkip: z.number().int().nonnegative(),
});

/** Active faults. */
export type Faults = z.infer<typeof faultsSchema>;

/** Schema of a change of faults; omitted ones keep their values. */
export const faultsChangeSchema = faultsSchema.partial().strict();

export const NO_FAULTS: Faults = {
	down: false, slowMs: 0, loseAnswers: 'none', loseCount: 0, watchSkip: 0,
};

/** Applies a change; `after-write` without a count loses one response. */
export function changeFaults(faults: Faults, change: z.infer<typeof faultsChangeSchema>): Faults {
	const defined = Object.fromEntries(Object.entries(change).filter(([, value]) => value !== undefined)) as Partial<Faults>;
	const changed = {...faults, ...defined};
	if (change.loseAnswers === 'after-write' && change.loseCount === undefined) {
		changed.loseCount = 1;
	}

	if (changed.loseCount === 0) {
		changed.loseAnswers = 'none';
	}

	return changed;
}
