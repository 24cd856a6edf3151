/** Public index: a machine among its peers, and its reads from the platform. */
export {Peering, type PeeringOptions, type PeeringSnapshot} from './peering.js';
export {PlatformWatch, RULES_OBJECT, type PlatformWatchOptions} from './platform-watch.js';
