/** Axis of a chart: rounded limits and positions of the tick marks. */

export type Axis = {readonly min: number; readonly max: number; readonly ticks: readonly number[]};

/** Tick marks of a narrower span would not be distinct floating-point numbers. */
const MIN_SPAN = 1e-100;
const MIN_RELATIVE_SPAN = 1e-9;

const STEP_FACTORS = [1, 2, 2.5, 5, 10];

/**
 * Chooses rounded limits that contain all values.
 *
 * @param targetTickCount - Approximate number of tick marks.
 */
export function createAxis(values: readonly number[], targetTickCount = 6, includeZero = true): Axis {
	const finite = values.filter(value => Number.isFinite(value));
	const zero = includeZero || finite.length === 0 ? [0] : [];
	const minValue = Math.min(...finite, ...zero);
	const maxValue = Math.max(...finite, ...zero);
	const isSpanSufficient = maxValue - minValue > Math.max(MIN_SPAN, Math.abs(maxValue) * MIN_RELATIVE_SPAN);
	const upperValue = isSpanSufficient ? maxValue : minValue + (Math.abs(minValue) < MIN_SPAN ? 1 : Math.abs(minValue));
	const span = upperValue - minValue;
	const minStep = span / targetTickCount;
	const magnitude = 10 ** Math.floor(Math.log10(minStep));
	const step = magnitude * (STEP_FACTORS.find(candidate => candidate * magnitude >= minStep) ?? 10);
	// Rounding of the quotient may leave a value just outside the limit; the limit is then moved by one step.
	const lowerLimit = Math.floor(minValue / step) * step;
	const upperLimit = Math.ceil(upperValue / step) * step;
	const min = lowerLimit > minValue ? lowerLimit - step : lowerLimit;
	const max = upperLimit < upperValue || upperLimit <= min ? upperLimit + step : upperLimit;
	const count = Math.round((max - min) / step);
	return {min, max, ticks: Array.from({length: count + 1}, (_, index) => Number((min + (index * step)).toPrecision(12)))};
}

/** Label of a tick mark. */
export function formatTick(value: number): string {
	if (Math.abs(value) >= 10_000) {
		return value.toLocaleString('en-US');
	}

	return String(Number(value.toPrecision(6)));
}
