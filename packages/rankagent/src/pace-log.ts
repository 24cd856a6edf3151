/** Logs once a second how a group runs: the time of its steps, the skew of its load and how full its batches are. */
import {
	skewOfMap, type ExpertLoad, type GroupMap, type RankState,
} from '#rankmap';
import type {Logger} from '#telemetry';

/** Interval between two lines, in ms. */
const LOG_INTERVAL_MS = 1000;

/** The group as the coordinator sees it. */
export type GroupView = {
	/** States of the ranks that responded; the first is that of rank 0. */
	readonly states: readonly RankState[];
	/** Reads the map in use and the recent load; undefined until both are known. */
	readonly readDemand: () => {readonly map: GroupMap; readonly load: ExpertLoad} | undefined;
};

export class PaceLog {
	static create(logger: Logger): PaceLog {
		return new PaceLog(logger);
	}

	#previous: {readonly at: number; readonly epoch: number; readonly step: number} | undefined;
	readonly #logger: Logger;

	private constructor(logger: Logger) {
		this.#logger = logger;
	}

	/** Takes a view of the group at `now` (monotonic ms). */
	record({states, readDemand}: GroupView, now: number): void {
		const own = states[0];
		if (own === undefined || (this.#previous !== undefined && now - this.#previous.at < LOG_INTERVAL_MS)) {
			return;
		}

		const {epoch, step, map, heldStep} = own;
		const steps = this.#previous?.epoch === epoch ? step - this.#previous.step : 0;
		const stepMs = steps > 0 ? (now - this.#previous!.at) / steps : undefined;
		this.#previous = {at: now, epoch, step};
		const demand = readDemand();
		const running = states.map(state => state.running);
		this.#logger.info('group pace', {
			epoch,
			step,
			stepMs: stepMs === undefined ? undefined : Math.round(stepMs),
			map,
			heldStep,
			skew: demand === undefined ? undefined : Math.round(skewOfMap(demand.map, demand.load) * 100) / 100,
			ranks: states.length,
			running: running.reduce((sum, value) => sum + value, 0),
			mostRunning: Math.max(...running),
			queued: states.reduce((sum, state) => sum + state.queued, 0),
			slowestPace: Math.max(...states.map(state => state.pace)),
		});
	}
}
