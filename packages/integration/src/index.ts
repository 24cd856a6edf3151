/** Fixtures of the integration tests. Development only. */
export {
	baseRules, readGeneratedBytes, CLERK_KEY, readCounts, readRuns, startFleet, stopFleet, TEMPLE_KEY, type FleetOptions, type RunRecord, type RunningFleet,
} from './fixtures.js';
