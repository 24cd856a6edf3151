/** Public index: request-response messaging between processes of the system on a trusted network. */
export {RequestClient} from './request-client.js';
export {RequestServer, type RequestHandler} from './request-server.js';
