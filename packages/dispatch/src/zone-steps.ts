/**
 * Tells whether the endpoints of different zones make their steps together. Those of one group end their steps at the same time, so
 * only gaps of the same moments are compared: an entry sees few streams of a zone, and steps vary from second to second.
 */

/** Length of a moment, in ms: a few steps. */
const SLICE_MS = 250;

/** Number of moments that are kept: 3 s, in which a group stays slow or fast. */
const MAX_SLICES = 12;

/** Minimum number of moments in which gaps of two zones were seen for a comparison. */
const MIN_COMMON_SLICES = 6;

/** Ratio of the mean gaps of two zones from which they count as different groups. */
const ZONE_DIFFERENCE = 1.3;

/** Maximum number of zones; gaps of others are ignored until one had none for the time that is kept. */
const MAX_ZONES = 64;

/** Gaps of one zone in one moment. */
type Slice = {sumMs: number; count: number};

export class ZoneSteps {
	static create(): ZoneSteps {
		return new ZoneSteps();
	}

	/** Slices of each zone by number. */
	readonly #zones = new Map<string, Map<number, Slice>>();

	/** Records the time between two events of a stream at an endpoint of a zone; `now` in monotonic ms. */
	record(zone: string, gapMs: number, now: number): void {
		const current = Math.floor(now / SLICE_MS);
		if (!this.#zones.has(zone)) {
			this.#forget(current);
			if (this.#zones.size >= MAX_ZONES) {
				return;
			}
		}

		const slices = this.#zones.get(zone) ?? new Map<number, Slice>();
		this.#zones.set(zone, slices);
		const slice = slices.get(current) ?? {sumMs: 0, count: 0};
		slice.sumMs += gapMs;
		slice.count += 1;
		slices.set(current, slice);
		for (const number of slices.keys()) {
			if (number <= current - MAX_SLICES) {
				slices.delete(number);
			}
		}
	}

	/** Whether the steps of some zones took much longer than those of others at the same time. */
	areDifferent(now: number): boolean {
		this.#forget(Math.floor(now / SLICE_MS));
		const oldest = Math.floor(now / SLICE_MS) - MAX_SLICES;
		const zones = [...this.#zones.values()].map(slices => new Map([...slices].filter(([number]) => number > oldest)));
		return zones.some((slices, index) => zones.slice(index + 1).some(others => differ(slices, others)));
	}

	/** Drops zones without gaps in the moments that are kept. */
	#forget(current: number): void {
		for (const [zone, slices] of this.#zones) {
			if (Math.max(...slices.keys()) <= current - MAX_SLICES) {
				this.#zones.delete(zone);
			}
		}
	}
}

function differ(a: ReadonlyMap<number, Slice>, b: ReadonlyMap<number, Slice>): boolean {
	const common = [...a.keys()].filter(number => b.has(number));
	const [ofA, ofB] = [a, b].map(slices => common.reduce((sum, number) => sum + meanMs(slices.get(number)!), 0)) as [number, number];
	return common.length >= MIN_COMMON_SLICES && Math.max(ofA, ofB) > Math.min(ofA, ofB) * ZONE_DIFFERENCE;
}

function meanMs({sumMs, count}: Slice): number {
	return sumMs / count;
}
