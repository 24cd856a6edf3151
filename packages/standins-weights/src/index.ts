/** Stand-in for the weight store: deterministic expert weights with a rate limit. */
export {TokenBucket} from './token-bucket.js';
export {
	WeightsServer, type WeightsCounts, type WeightsFaults, type WeightsServerOptions,
} from './weights-server.js';
