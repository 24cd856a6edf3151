/** Public index: client of a model engine, and the HTTP back end that services share. */
export {Backend, type BackendAnswer, type BackendRequest} from './backend.js';
export {
	EngineClient, type CacheEvents, type EngineLoad, type ExpertLoad, type OrderResult,
} from './engine-client.js';
