/** Public index: client of a plain service. */
export {ServiceClient, type LookupResult} from './service-client.js';
