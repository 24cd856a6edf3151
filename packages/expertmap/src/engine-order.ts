/** Orders to one engine of a group and the state that it reports (endpoint `/v1/orders` of an engine). */

/** Experts held by each slot: `slots[layer][rank]` lists expert numbers, one per slot. */
export type ExpertMap = {
	readonly slots: ReadonlyArray<ReadonlyArray<readonly number[]>>;
};

/** Fields of every order. `epoch` lets the engine refuse an order from before the group re-formed. */
type OrderFields = {
	readonly version: number;
	readonly epoch: number;
	readonly fence: number;
};

/** An order to one engine. A process sends an order only after the response to the previous one. */
export type EngineOrder
	= | (OrderFields & {readonly order: 'prepare'; readonly map: ExpertMap})
		| (OrderFields & {readonly order: 'gate' | 'go' | 'cancel'; readonly step: number})
		| (OrderFields & {readonly order: 'drop'})
		| (OrderFields & {
			readonly order: 'reform';
			/** First step of the new epoch. */
			readonly step: number;
			/** Ids of all endpoints of the new epoch. */
			readonly members: readonly string[];
		});

/** Gate of an engine, which waits before `step` until `go` was executed (`gone`) or the gate is cancelled. */
export type EngineGate = {
	readonly version: number;
	readonly step: number;
	readonly gone: boolean;
};

/** State of an engine as `GET /v1/orders/state` reports it. */
export type EngineState = {
	/** Epoch of the barrier that the engine takes part in; 0 if it has joined none. */
	readonly epoch: number;
	/** Ids of the endpoints whose engines form the barrier. */
	readonly members: readonly string[];
	/** Step in progress, or the next one while the engine waits at the barrier. */
	readonly step: number;
	/** Version of the map in use; 0 if none is loaded. */
	readonly mapVersion: number;
	/** Map versions that are loaded but not in use. */
	readonly prepared: readonly number[];
	readonly gate?: EngineGate;
	/** Highest fencing token that the engine has seen. */
	readonly fence: number;
};

/** Reason that an engine refuses an order. `too-late` covers a past step, an earlier epoch and a dropped version. */
export type OrderRefusalReason = 'fence' | 'not-prepared' | 'too-late' | 'no-gate' | 'gone';

/** Response of an engine to an order. */
export type OrderResponse
	= | {readonly kind: 'done'; readonly state: EngineState}
		| {readonly kind: 'refused'; readonly reason: OrderRefusalReason; readonly state: EngineState};

/** True if the engine has the weights of `version`, whether or not it is in use. */
export function hasVersionLoaded(state: EngineState, version: number): boolean {
	return state.mapVersion === version || state.prepared.includes(version);
}

/** True if the engine has executed `go` for this version. */
export function hasExecutedGo(state: EngineState, version: number): boolean {
	return state.mapVersion === version || (state.gate?.version === version && state.gate.gone);
}

/** True if the engine has a gate for this version and has not executed `go`. */
export function isGated(state: EngineState, version: number): boolean {
	return state.gate?.version === version && !state.gate.gone;
}
