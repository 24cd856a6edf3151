/**
 * Readiness of a starting process. It must not serve with an older configuration than the rest of the fleet, so
 * it first needs a response from the platform, or from all seeds that can be reached (at least one).
 */

/** State of a configuration source during startup. */
export type SourceState = 'asking' | 'answered' | 'unreachable';

/** States of the configuration sources of a starting process. */
export type StartupState = {
	readonly platform: SourceState;
	readonly seeds: ReadonlyMap<string, SourceState>;
};

/** Whether the process may serve, and if not, the reason why it waits. */
export type Readiness
	= | {readonly kind: 'ready'; readonly source: 'platform' | 'seeds'}
		| {readonly kind: 'waiting'; readonly reason: string};

export function readinessOf(state: StartupState): Readiness {
	if (state.platform === 'answered') {
		return {kind: 'ready', source: 'platform'};
	}

	const seeds = new Set(state.seeds.values());
	if (state.platform === 'asking') {
		return {kind: 'waiting', reason: 'the platform has not answered yet'};
	}

	if (seeds.has('asking')) {
		return {kind: 'waiting', reason: 'the platform cannot be reached and not all seeds have answered'};
	}

	return seeds.has('answered')
		? {kind: 'ready', source: 'seeds'}
		: {kind: 'waiting', reason: 'neither the platform nor a seed can be reached'};
}
