/** Public index: client of a model engine, and the HTTP client that it shares with services. */
export {Backend, type BackendResponse, type BackendRequest} from './backend.js';
export {
	EngineClient, type CacheEvents, type EngineLoad, type ExpertLoad, type OrderResult,
} from './engine-client.js';
