/** Exchange of configuration and membership between peers, and their synchronisation from the platform. */
export {Peering, type PeeringOptions, type PeeringSnapshot} from './peering.js';
export {PlatformWatch, RULES_OBJECT, type PlatformWatchOptions} from './platform-watch.js';
