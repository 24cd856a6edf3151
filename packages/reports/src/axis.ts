/** Axis of a chart: rounded limits and tick marks. */

export type Axis = {readonly min: number; readonly max: number; readonly ticks: readonly number[]};

/** Narrower spans have no tick marks that differ in floating point. */
const SMALLEST_SPAN = 1e-100;
const RELATIVE_SPAN = 1e-9;

const STEPS = [1, 2, 2.5, 5, 10];

/**
 * Chooses rounded limits that contain all values.
 *
 * @param wanted - Number of tick marks aimed at.
 */
export function createAxis(values: readonly number[], wanted = 6, includeZero = true): Axis {
	const finite = values.filter(value => Number.isFinite(value));
	const zero = includeZero || finite.length === 0 ? [0] : [];
	const low = Math.min(...finite, ...zero);
	const top = Math.max(...finite, ...zero);
	const isWide = top - low > Math.max(SMALLEST_SPAN, Math.abs(top) * RELATIVE_SPAN);
	const high = isWide ? top : low + (Math.abs(low) < SMALLEST_SPAN ? 1 : Math.abs(low));
	const span = high - low;
	const rough = span / wanted;
	const power = 10 ** Math.floor(Math.log10(rough));
	const step = power * (STEPS.find(candidate => candidate * power >= rough) ?? 10);
	// Rounding of the quotient may leave a value just outside; one more step then takes it in.
	const below = Math.floor(low / step) * step;
	const above = Math.ceil(high / step) * step;
	const min = below > low ? below - step : below;
	const max = above < high || above <= min ? above + step : above;
	const count = Math.round((max - min) / step);
	return {min, max, ticks: Array.from({length: count + 1}, (_, index) => Number((min + (index * step)).toPrecision(12)))};
}

/** Text of a tick mark. */
export function formatTick(value: number): string {
	if (Math.abs(value) >= 10_000) {
		return value.toLocaleString('en-US');
	}

	return String(Number(value.toPrecision(6)));
}
