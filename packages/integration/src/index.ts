/** Fixtures of the integration tests. Development only. */
export {
	baseRules, bytesMadeBy, CLERK_KEY, countsOf, startFleet, stopFleet, TEMPLE_KEY, type FleetPlan, type Running,
} from './fixtures.js';
