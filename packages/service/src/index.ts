/** Public index: client of a plain service. */
export {ServiceClient, type LookupAnswer} from './service-client.js';
