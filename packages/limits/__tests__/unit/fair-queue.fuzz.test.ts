import fc from 'fast-check';
import t from 'tap';
import {FairQueue, type QueueItem} from '#limits';
import {fuzzParameters} from '#tooling';

const parameters = fuzzParameters({seed: 20_261_204, runs: 300});
const BOUNDS = {maxItems: 12, maxTokens: 500};

/** Model of the queue: the items that it must contain. */
type Model = {now: number; next: number; queued: Map<string, QueueItem>};
type Real = {queue: FairQueue<QueueItem>};

/** Removes returned items from the model; fails if one is not in it, because it was lost before or returned twice. */
function remove(model: Model, items: readonly QueueItem[]): void {
	for (const {id} of items) {
		if (!model.queued.delete(id)) {
			throw new Error(`${id} was returned but was not queued`);
		}
	}
}

class ModelCommand implements fc.Command<Model, Real> {
	readonly #name: string;
	readonly #step: (model: Model, real: Real) => void;

	constructor(name: string, step: (model: Model, real: Real) => void) {
		this.#name = name;
		this.#step = step;
	}

	check = () => true;

	run(model: Model, real: Real): void {
		this.#step(model, real);
		const tokens = [...model.queued.values()].reduce((sum, item) => sum + item.tokens, 0);
		if (real.queue.size !== model.queued.size || real.queue.tokens !== tokens) {
			throw new Error(`queue holds ${real.queue.size} items and ${real.queue.tokens} tokens, expected ${model.queued.size} and ${tokens}`);
		}

		if (real.queue.size > BOUNDS.maxItems || real.queue.tokens > BOUNDS.maxTokens) {
			throw new Error('the queue exceeds its bounds');
		}
	}

	toString(): string {
		return this.#name;
	}
}

const commands = [
	fc.record({
		workspace: fc.constantFrom('a', 'b', 'c'), priority: fc.nat(2), tokens: fc.integer({min: 1, max: 200}), life: fc.integer({min: -5, max: 100}),
	}).map(({workspace, priority, tokens, life}) => new ModelCommand(`offer ${workspace} ${priority} ${tokens} ${life}`, (model, {queue}) => {
		const item = {
			id: `i${model.next++}`, workspace, priority, tokens, weight: workspace === 'a' ? 2 : 1, deadline: model.now + life,
		};
		const offer = queue.offer(item, model.now);
		if (offer.kind === 'queued') {
			remove(model, offer.displaced);
			model.queued.set(item.id, item);
		} else if (life > 0 && model.queued.size < BOUNDS.maxItems && queue.tokens + tokens <= BOUNDS.maxTokens) {
			throw new Error(`refused as ${offer.reason} although there is room`);
		}
	})),
	fc.constant(new ModelCommand('take', (model, {queue}) => {
		const {item, expired} = queue.take(model.now);
		remove(model, expired);
		const best = Math.max(...[...model.queued.values()].map(({priority}) => priority));
		if (model.queued.size > 0 && (item?.priority !== best || item.deadline <= model.now)) {
			throw new Error(`took ${JSON.stringify(item)}, highest priority is ${best}`);
		}

		remove(model, item === undefined ? [] : [item]);
	})),
	fc.nat(30).map(number => new ModelCommand(`remove i${number}`, (model, {queue}) => {
		const removed = queue.remove(`i${number}`);
		if ((removed === undefined) === model.queued.has(`i${number}`)) {
			throw new Error(`unexpected result of removing i${number}`);
		}

		model.queued.delete(`i${number}`);
	})),
	fc.nat(40).map(ms => new ModelCommand(`advance ${ms}`, model => {
		model.now += ms;
	})),
];

await t.test('every item leaves the queue exactly once, and the highest priority first', t => {
	fc.assert(fc.property(fc.commands(commands, {maxCommands: 80, size: 'max'}), list => {
		fc.modelRun(() => ({model: {now: 0, next: 0, queued: new Map<string, QueueItem>()}, real: {queue: FairQueue.create<QueueItem>(BOUNDS)}}), list);
	}), parameters);
	t.pass();
	t.end();
});

await t.test('backlogged workspaces are served in proportion to their weights, regardless of their request sizes', t => {
	const flow = fc.record({weight: fc.integer({min: 1, max: 8}), tokens: fc.integer({min: 1, max: 100})});
	fc.assert(fc.property(fc.array(flow, {minLength: 2, maxLength: 5}), flows => {
		const queue = FairQueue.create<QueueItem>({maxItems: 10_000, maxTokens: 10_000_000});
		const served = flows.map(() => 0);
		const fill = (index: number, number: number) => queue.offer({
			id: `${index}-${number}`, workspace: `w${index}`, priority: 0, weight: flows[index]?.weight ?? 1, tokens: flows[index]?.tokens ?? 1, deadline: 1,
		}, 0);
		for (const index of flows.keys()) {
			fill(index, 0);
			fill(index, 1);
		}

		for (let number = 2; number < 400; number++) {
			const {item} = queue.take(0);
			const index = Number(item?.workspace.slice(1));
			served[index] = (served[index] ?? 0) + (item?.tokens ?? 0);
			fill(index, number);
		}

		// Bound of start-time fair queueing: normalised service of two flows differs by at most one request of each.
		for (const [a, first] of flows.entries()) {
			for (const [b, second] of flows.entries()) {
				const gap = Math.abs(((served[a] ?? 0) / first.weight) - ((served[b] ?? 0) / second.weight));
				if (gap > (first.tokens / first.weight) + (second.tokens / second.weight) + 1e-6) {
					throw new Error(`w${a} and w${b} are ${gap} apart`);
				}
			}
		}
	}), parameters);
	t.pass();
	t.end();
});
