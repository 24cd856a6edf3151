/** Public index: the endpoint role. */
export {Endpoint, type EndpointOptions} from './endpoint.js';
