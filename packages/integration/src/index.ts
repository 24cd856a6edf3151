/** Fixtures of the integration tests. Development only. */
export {
	baseRules, bytesMadeBy, CLERK_KEY, countsOf, runsOn, startFleet, stopFleet, TEMPLE_KEY, type FleetPlan, type RunCount, type Running,
} from './fixtures.js';
