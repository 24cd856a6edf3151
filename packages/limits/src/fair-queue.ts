/**
 * Weighted fair queueing for an endpoint: strict priorities, and within a priority each workspace
 * gets a share of the tokens by its weight (start-time fair queueing). Bounded in items and tokens.
 */

/** Work that waits for the engine. */
export type QueueItem = {
	/** Unique among the items in the queue. */
	readonly id: string;
	readonly workspace: string;
	/** Share of the workspace; above 0. */
	readonly weight: number;
	/** Higher runs first. */
	readonly priority: number;
	/** Size of the work, tokens. */
	readonly tokens: number;
	/**
	 * When it must start at the latest, milliseconds: the time the first byte is due, less the time from
	 * start to first byte. With the due time itself an overloaded endpoint starts work that comes too late.
	 */
	readonly deadline: number;
};

/** Bounds of a queue. */
export type QueueBounds = {readonly maxItems: number; readonly maxTokens: number};

/** Outcome of an offer; displaced items have not run and are to be refused as `endpoint-full`. */
export type OfferResult<Item>
	= | {readonly kind: 'queued'; readonly displaced: readonly Item[]}
		| {readonly kind: 'refused'; readonly reason: 'endpoint-full' | 'deadline' | 'duplicate'; readonly outcome: 'not-run'};

/** The next item, if any, and those whose deadline passed in the queue; these have not run. */
export type TakeResult<Item> = {readonly item: Item | undefined; readonly expired: readonly Item[]};

type Tagged<Item> = {readonly item: Item; readonly start: number};
type Flow<Item> = {readonly workspace: string; waiting: ReadonlyArray<Tagged<Item>>; finish: number; tokens: number};
type Level<Item> = {readonly flows: Map<string, Flow<Item>>; virtualTime: number};

function refused(reason: 'endpoint-full' | 'deadline' | 'duplicate') {
	return {kind: 'refused', reason, outcome: 'not-run'} as const;
}

/** Weighted backlog of a flow: the larger, the more it exceeds its share. */
function backlog<Item extends QueueItem>(flow: Flow<Item>): number {
	return flow.tokens / (flow.waiting[0]?.item.weight ?? 1);
}

/** A queue owned by one endpoint process. */
export class FairQueue<Item extends QueueItem> {
	static create<Item extends QueueItem>(bounds: QueueBounds): FairQueue<Item> {
		return new FairQueue(bounds);
	}

	readonly #bounds: QueueBounds;
	readonly #levels = new Map<number, Level<Item>>();
	readonly #ids = new Set<string>();
	#tokens = 0;

	private constructor(bounds: QueueBounds) {
		this.#bounds = bounds;
	}

	/** Items in the queue. */
	get size(): number {
		return this.#ids.size;
	}

	/** Tokens in the queue. */
	get tokens(): number {
		return this.#tokens;
	}

	/**
	 * Tokens that are served before a new item of a workspace: all of higher priorities, and of its own
	 * priority what the other workspaces are due while its own backlog is served. Never more than queued.
	 */
	tokensAhead(workspace: string, priority: number, weight: number): number {
		let ahead = 0;
		for (const [otherPriority, level] of this.#levels) {
			const own = level.flows.get(workspace)?.tokens ?? 0;
			for (const flow of level.flows.values()) {
				const share = otherPriority > priority || flow.workspace === workspace
					? flow.tokens
					: Math.min(flow.tokens, this.#dueBefore(flow, own, weight));
				ahead += otherPriority >= priority ? share : 0;
			}
		}

		return ahead;
	}

	/** Offers work. A full queue displaces the latest items of the workspace with the largest weighted backlog. */
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

	/** Takes the next item and drops those past their deadline. */
	take(now: number): TakeResult<Item> {
		const expired = this.expire(now);
		for (const priority of [...this.#levels.keys()].toSorted((a, b) => b - a)) {
			const item = this.#takeFrom(priority);
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

	/** Removes an item, for example because its caller cancelled; undefined if it is not queued. */
	remove(id: string): Item | undefined {
		return this.#ids.has(id) ? this.#removeWhere(item => item.id === id)[0] : undefined;
	}

	/** Empties the queue and returns its items in no special order. */
	drain(): readonly Item[] {
		return this.#removeWhere(() => true);
	}

	#dueBefore(flow: Flow<Item>, ownTokens: number, weight: number): number {
		const otherWeight = flow.waiting[0]?.item.weight ?? 1;
		const head = flow.waiting[0]?.item.tokens ?? 0;
		return head + (ownTokens * otherWeight / weight);
	}

	#fits(item: Item): boolean {
		return this.#ids.size < this.#bounds.maxItems && this.#tokens + item.tokens <= this.#bounds.maxTokens;
	}

	/** The flow to displace from: lowest priority not above the item's, then the largest weighted backlog. */
	#victim(item: Item): Flow<Item> | undefined {
		const priorities = [...this.#levels.keys()].filter(priority => priority <= item.priority).toSorted((a, b) => a - b);
		for (const priority of priorities) {
			const flows = [...this.#levels.get(priority)?.flows.values() ?? []].filter(({waiting}) => waiting.length > 0);
			const largest = flows.toSorted((a, b) => backlog(b) - backlog(a))[0];
			if (largest !== undefined) {
				const own = this.#levels.get(item.priority)?.flows.get(item.workspace)?.tokens ?? 0;
				const gains = priority < item.priority || backlog(largest) > (own + item.tokens) / item.weight;
				return gains ? largest : undefined;
			}
		}

		return undefined;
	}

	/** Makes room without touching a smaller backlog; undefined if the item must be refused instead. */
	#makeRoom(item: Item): readonly Item[] | undefined {
		const displaced: Item[] = [];
		while (!this.#fits(item)) {
			const last = item.tokens > this.#bounds.maxTokens ? undefined : this.#victim(item)?.waiting.at(-1);
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

	#takeFrom(priority: number): Item | undefined {
		const level = this.#levels.get(priority);
		let next: {readonly flow: Flow<Item>; readonly tagged: Tagged<Item>} | undefined;
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
		this.#forget(next.flow, next.tagged.item);
		this.#dropIdle(priority, level);
		return next.tagged.item;
	}

	#forget(flow: Flow<Item>, item: Item): void {
		flow.tokens -= item.tokens;
		this.#ids.delete(item.id);
		this.#tokens -= item.tokens;
	}

	/** Drops flows that have waited out their last finish time; a level without flows starts again at zero. */
	#dropIdle(priority: number, level: Level<Item>): void {
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
				const gone = flow.waiting.filter(({item}) => matches(item)).map(({item}) => item);
				if (gone.length === 0) {
					continue;
				}

				this.#removeFrom(flow, gone);
				removed.push(...gone);
			}

			this.#dropIdle(priority, level);
		}

		return removed;
	}

	/** Removed work is not charged: the tags of what stays move up. */
	#removeFrom(flow: Flow<Item>, gone: readonly Item[]): void {
		let {start} = flow.waiting[0] ?? {start: 0};
		const waiting: Array<Tagged<Item>> = [];
		for (const {item} of flow.waiting) {
			if (gone.includes(item)) {
				this.#forget(flow, item);
				continue;
			}

			waiting.push({item, start});
			start += item.tokens / item.weight;
		}

		flow.waiting = waiting;
		flow.finish = start;
	}
}
