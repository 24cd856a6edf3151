/** Public index of the coordination library; also published as `mimosamount/coordination`. */
export type {
	CallOptions, ObjectList, ObjectStore, StoredObject, StoreFailure,
} from './object-store.js';
