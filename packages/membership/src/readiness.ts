/**
 * When a process that starts may serve. It must not serve with an older configuration
 * than the fleet's, so it first hears from the platform, or from all seeds that can be
 * reached (at least one).
 */

/** State of one source of the configuration during the start. */
export type SourceState = 'asking' | 'answered' | 'unreachable';

/** What a starting process knows. */
export type StartupState = {
	readonly platform: SourceState;
	readonly seeds: ReadonlyMap<string, SourceState>;
};

/** Whether the process may serve, and if not, what it waits for. */
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
