/** Public API: client of the platform's object API. No other module calls the platform. */
export {
	PlatformClient, type CallCounts, type CallKind, type PlatformClientOptions,
} from './client.js';
export {listAndWatch, type ListWatchEvent, type ListWatchOptions} from './list-and-watch.js';
export type {Instance, InstanceListing} from './schemas.js';
export type {WatchEvent} from './watch.js';
export {TokenBucket, type BucketRate} from './token-bucket.js';
