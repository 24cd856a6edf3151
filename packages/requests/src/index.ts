/** Public index: what the entries of both stacks know of a request's course, from its arrival to its last attempt. */
export {
	AttemptRace, type AttemptRaceOptions, type RaceEvent, type RaceStop, type RacingAttempt,
} from './attempt-race.js';
export {BacklogProbe} from './backlog-probe.js';
export {processClock} from './process-clock.js';
export {ReadDelay, type Arrival, type ReadDelayClock} from './read-delay.js';
