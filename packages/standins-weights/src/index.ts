/** Stand-in for the weight store: deterministic expert weights behind a rate limit. */
export {TokenBucket} from './rate-limit.js';
export {
	WeightsServer, type WeightsCounts, type WeightsFaults, type WeightsServerOptions,
} from './weights-server.js';
