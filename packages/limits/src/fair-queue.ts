/**
 * Weighted fair queue of an endpoint: strict priorities, and start-time fair queueing by workspace weight
 * within a priority. The queue is bounded in items and tokens.
 */

/** A request waiting for the engine. */
export type QueueItem = {
	/** Unique among the items in the queue. */
	readonly id: string;
	readonly workspace: string;
	/** Weight of the workspace; greater than 0. */
	readonly weight: number;
	/** Items with a higher priority run first. */
	readonly priority: number;
	/** Size of the request, tokens. */
	readonly tokens: number;
	/**
	 * Latest start time, milliseconds: the time when the first byte is due, minus the time from start to first byte.
	 * If it were the due time itself, an overloaded endpoint would start work whose first byte comes too late.
	 */
	readonly deadline: number;
};

/** Bounds of a queue. */
export type QueueBounds = {readonly maxItems: number; readonly maxTokens: number};

/** Result of an offer. Displaced items have not run and must be refused as `endpoint-full`. */
export type OfferResult<Item>
	= | {readonly kind: 'queued'; readonly displaced: readonly Item[]}
		| {readonly kind: 'refused'; readonly reason: 'endpoint-full' | 'deadline' | 'duplicate'; readonly outcome: 'not-run'};

/** The next item, if any, and the items whose deadline passed in the queue; the latter have not run. */
export type TakeResult<Item> = {readonly item: Item | undefined; readonly expired: readonly Item[]};

type TaggedItem<Item> = {readonly item: Item; readonly start: number};
type Flow<Item> = {readonly workspace: string; waiting: ReadonlyArray<TaggedItem<Item>>; finish: number; tokens: number};
type PriorityLevel<Item> = {readonly flows: Map<string, Flow<Item>>; virtualTime: number};

function refused(reason: 'endpoint-full' | 'deadline' | 'duplicate') {
	return {kind: 'refused', reason, outcome: 'not-run'} as const;
}

/** Queued tokens of a flow divided by its weight; the flow with the largest value exceeds its share most. */
function weightedBacklog<Item extends QueueItem>(flow: Flow<Item>): number {
	return flow.tokens / (flow.waiting[0]?.item.weight ?? 1);
}

/** Weighted fair queue owned by one endpoint process. */
export class FairQueue<Item extends QueueItem> {
	static create<Item extends QueueItem>(bounds: QueueBounds): FairQueue<Item> {
		return new FairQueue(bounds);
	}

	readonly #bounds: QueueBounds;
	readonly #levels = new Map<number, PriorityLevel<Item>>();
	readonly #ids = new Set<string>();
	#tokens = 0;

	private constructor(bounds: QueueBounds) {
		this.#bounds = bounds;
	}

	/** Number of items in the queue. */
	get size(): number {
		return this.#ids.size;
	}

	/** Total tokens of the items in the queue. */
	get tokens(): number {
		return this.#tokens;
	}

	/**
	 * Estimates the queued tokens that are served before a new item of a workspace: all tokens of higher priorities, the
	 * workspace's own backlog, and what the other workspaces of its priority receive in the meantime, at most their queued tokens.
	 */
	tokensAhead(workspace: string, priority: number, weight: number): number {
		let ahead = 0;
		for (const [otherPriority, level] of this.#levels) {
			const own = level.flows.get(workspace)?.tokens ?? 0;
			for (const flow of level.flows.values()) {
				const share = otherPriority > priority || flow.workspace === workspace
					? flow.tokens
					: Math.min(flow.tokens, this.#tokensServedBefore(flow, own, weight));
				ahead += otherPriority >= priority ? share : 0;
			}
		}

		return ahead;
	}

	/** Adds an item. A full queue displaces the latest items of the workspace with the largest weighted backlog. */
	offer(item: Item, now: number): OfferResult<Item> {
		if (this.#ids.has(item.id)) {
			return refused('duplicate');
		}

		if (item.deadline <= now) {
			return refused('deadline');
		}

		const displaced = this.#makeRoom(item);
		if (displaced === undefined) {
			return refused('endpoint-full');
		}

		this.#add(item);
		return {kind: 'queued', displaced};
	}

	/** Takes the next item and removes those past their deadline. */
	take(now: number): TakeResult<Item> {
		const expired = this.expire(now);
		for (const priority of [...this.#levels.keys()].toSorted((a, b) => b - a)) {
			const item = this.#takeFromLevel(priority);
			if (item !== undefined) {
				return {item, expired};
			}
		}

		return {item: undefined, expired};
	}

	/** Removes and returns the items whose deadline has passed. */
	expire(now: number): readonly Item[] {
		return this.#removeWhere(item => item.deadline <= now);
	}

	/** Removes an item, for example because its caller cancelled it; returns undefined if it is not queued. */
	remove(id: string): Item | undefined {
		return this.#ids.has(id) ? this.#removeWhere(item => item.id === id)[0] : undefined;
	}

	/** Empties the queue and returns its items in unspecified order. */
	drain(): readonly Item[] {
		return this.#removeWhere(() => true);
	}

	#tokensServedBefore(flow: Flow<Item>, ownTokens: number, weight: number): number {
		const otherWeight = flow.waiting[0]?.item.weight ?? 1;
		const headTokens = flow.waiting[0]?.item.tokens ?? 0;
		return headTokens + (ownTokens * otherWeight / weight);
	}

	#fits(item: Item): boolean {
		return this.#ids.size < this.#bounds.maxItems && this.#tokens + item.tokens <= this.#bounds.maxTokens;
	}

	/** The flow to displace items from: in the lowest priority not above the item's, the one with the largest weighted backlog. */
	#flowToDisplace(item: Item): Flow<Item> | undefined {
		const priorities = [...this.#levels.keys()].filter(priority => priority <= item.priority).toSorted((a, b) => a - b);
		for (const priority of priorities) {
			const flows = [...this.#levels.get(priority)?.flows.values() ?? []].filter(({waiting}) => waiting.length > 0);
			const largest = flows.toSorted((a, b) => weightedBacklog(b) - weightedBacklog(a))[0];
			if (largest !== undefined) {
				const own = this.#levels.get(item.priority)?.flows.get(item.workspace)?.tokens ?? 0;
				const mayDisplace = priority < item.priority || weightedBacklog(largest) > (own + item.tokens) / item.weight;
				return mayDisplace ? largest : undefined;
			}
		}

		return undefined;
	}

	/** Displaces items until the new one fits, but none of a flow with a smaller backlog; undefined if the new item must be refused instead. */
	#makeRoom(item: Item): readonly Item[] | undefined {
		const displaced: Item[] = [];
		while (!this.#fits(item)) {
			const last = item.tokens > this.#bounds.maxTokens ? undefined : this.#flowToDisplace(item)?.waiting.at(-1);
			if (last === undefined) {
				this.#restore(displaced);
				return undefined;
			}

			this.remove(last.item.id);
			displaced.push(last.item);
		}

		return displaced;
	}

	#restore(displaced: Item[]): void {
		for (const item of displaced.toReversed()) {
			this.#add(item);
		}
	}

	#add(item: Item): void {
		const level = this.#levels.get(item.priority) ?? {flows: new Map<string, Flow<Item>>(), virtualTime: 0};
		this.#levels.set(item.priority, level);
		const flow = level.flows.get(item.workspace) ?? {
			workspace: item.workspace, waiting: [], finish: 0, tokens: 0,
		};
		level.flows.set(item.workspace, flow);
		const start = Math.max(level.virtualTime, flow.finish);
		flow.finish = start + (item.tokens / item.weight);
		flow.waiting = [...flow.waiting, {item, start}];
		flow.tokens += item.tokens;
		this.#ids.add(item.id);
		this.#tokens += item.tokens;
	}

	#takeFromLevel(priority: number): Item | undefined {
		const level = this.#levels.get(priority);
		let next: {readonly flow: Flow<Item>; readonly tagged: TaggedItem<Item>} | undefined;
		for (const flow of level?.flows.values() ?? []) {
			const tagged = flow.waiting[0];
			if (tagged !== undefined && (next === undefined || tagged.start < next.tagged.start)) {
				next = {flow, tagged};
			}
		}

		if (level === undefined || next === undefined) {
			return undefined;
		}

		level.virtualTime = next.tagged.start;
		next.flow.waiting = next.flow.waiting.slice(1);
		this.#uncount(next.flow, next.tagged.item);
		this.#removeIdleFlows(priority, level);
		return next.tagged.item;
	}

	#uncount(flow: Flow<Item>, item: Item): void {
		flow.tokens -= item.tokens;
		this.#ids.delete(item.id);
		this.#tokens -= item.tokens;
	}

	/** Removes empty flows whose finish tag has been reached by the virtual time; removes a level without items, so its virtual time restarts at 0. */
	#removeIdleFlows(priority: number, level: PriorityLevel<Item>): void {
		for (const [workspace, flow] of level.flows) {
			if (flow.waiting.length === 0 && flow.finish <= level.virtualTime) {
				level.flows.delete(workspace);
			}
		}

		if ([...level.flows.values()].every(({waiting}) => waiting.length === 0)) {
			this.#levels.delete(priority);
		}
	}

	#removeWhere(matches: (item: Item) => boolean): readonly Item[] {
		const removed: Item[] = [];
		for (const [priority, level] of this.#levels) {
			for (const flow of level.flows.values()) {
				const matching = flow.waiting.filter(({item}) => matches(item)).map(({item}) => item);
				if (matching.length === 0) {
					continue;
				}

				this.#removeFromFlow(flow, matching);
				removed.push(...matching);
			}

			this.#removeIdleFlows(priority, level);
		}

		return removed;
	}

	/** Removes items from a flow and recomputes the start tags of the rest, so that removed work is not charged. */
	#removeFromFlow(flow: Flow<Item>, removed: readonly Item[]): void {
		let {start} = flow.waiting[0] ?? {start: 0};
		const waiting: Array<TaggedItem<Item>> = [];
		for (const {item} of flow.waiting) {
			if (removed.includes(item)) {
				this.#uncount(flow, item);
				continue;
			}

			waiting.push({item, start});
			start += item.tokens / item.weight;
		}

		flow.waiting = waiting;
		flow.finish = start;
	}
}
