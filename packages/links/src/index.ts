/** Public index: requests and answers between processes of the system that share a trusted network. */
export {RequestLink} from './request-link.js';
export {RequestServer, type RequestHandler} from './request-server.js';
