import fc from 'fast-check';
import t from 'tap';
import {
	chooseReplica, initHashing, RoutingTable, type InstanceInfo, type LoadReport,
} from '#routing';
import {fuzzParameters} from '#tooling';

const parameters = fuzzParameters({seed: 20_261_204, runs: 200});
const REPLICAS = 8;
const ids = Array.from({length: REPLICAS}, (_, index) => `r${index}`);
const offeredModels = [['m@1'], ['m@2', 'm@2+law'], ['n@1'], ['service:ledger']];
const requestedModels = ['m', 'm@1', 'm@2', 'm+law', 'n@1', 'service:ledger', 'absent'];

/** Expected state of a replica; absent from the map if the replica is not in the directory. */
type Expected = {offer: number; listedLeaving: boolean; announcedLeaving: boolean; closed: boolean};
type Model = {now: number; known: Map<string, Expected>};
type Real = {table: RoutingTable};

function instanceOf(id: string, offer: number, leaving: boolean): InstanceInfo {
	const number = Number(id.slice(1));
	return {
		id, leaving, models: offeredModels[offer] ?? [], zone: `z${number % 3}`, region: `r${number % 2}`, group: 'g', address: id,
	};
}

function serves(offer: number, wanted: string): boolean {
	const served = [['m', 'm@1'], ['m', 'm@2', 'm+law'], ['n', 'n@1'], ['service:ledger']];
	return served[offer]?.includes(wanted) ?? false;
}

type Step = (model: Model, real: Real) => void;
class ModelCommand implements fc.Command<Model, Real> {
	readonly #name: string;
	readonly #step: Step;

	constructor(name: string, step: Step) {
		this.#name = name;
		this.#step = step;
	}

	check = () => true;

	run(model: Model, real: Real): void {
		this.#step(model, real);
	}

	toString(): string {
		return this.#name;
	}
}

function command(name: string, step: Step): ModelCommand {
	return new ModelCommand(name, step);
}

function loadOf(size: number, leaving: boolean): LoadReport {
	return {
		queuedTokens: size * 100, running: size, tokensPerSecond: size * 50, stepMs: 30 + size, cachedPrefixes: 0, leaving,
	};
}

const anyId = fc.constantFrom(...ids);
const work = {inputTokens: 100, outputTokens: 50};

const commands = [
	fc.array(fc.tuple(anyId, fc.nat(3), fc.boolean()), {maxLength: REPLICAS}).map(list => command(`directory ${JSON.stringify(list)}`, (model, real) => {
		const instances = new Map(list.map(([id, offer, leaving]) => [id, {offer, leaving}]));
		real.table = real.table.withInstances([...instances].map(([id, {offer, leaving}]) => instanceOf(id, offer, leaving)), model.now);
		model.known = new Map([...instances].map(([id, {offer, leaving}]) => [id, {
			offer, listedLeaving: leaving, announcedLeaving: model.known.get(id)?.announcedLeaving ?? false, closed: model.known.get(id)?.closed ?? false,
		}]));
	})),
	fc.tuple(anyId, fc.nat(20), fc.boolean()).map(([id, size, leaving]) => command(`report ${id} ${size} ${leaving}`, (model, real) => {
		real.table = real.table.withReport(id, loadOf(size, leaving), model.now);
		Object.assign(model.known.get(id) ?? {}, {announcedLeaving: leaving});
	})),
	anyId.map(id => command(`leaving ${id}`, (model, real) => {
		real.table = real.table.withLeaving(id, model.now);
		Object.assign(model.known.get(id) ?? {}, {announcedLeaving: true});
	})),
	fc.tuple(anyId, fc.constantFrom('leaving', 'endpoint-full', 'other')).map(([id, reason]) => command(`refusal ${id} ${reason}`, (model, real) => {
		real.table = real.table.withRefusal(id, reason, model.now);
		const expected = model.known.get(id);
		Object.assign(expected ?? {}, {announcedLeaving: expected?.announcedLeaving === true || reason === 'leaving'});
	})),
	fc.subarray(ids).map(closed => command(`closed ${closed.join(' ')}`, (model, real) => {
		real.table = real.table.withClosed(new Set(closed));
		for (const [id, expected] of model.known) {
			expected.closed = closed.includes(id);
		}
	})),
	fc.subarray(ids).map(subset => command(`subset ${subset.join(' ')}`, (model, real) => {
		real.table = real.table.withSubset(new Set(subset), model.now);
	})),
	fc.tuple(anyId, fc.boolean()).map(([id, starts]) => command(`${starts ? 'dispatch' : 'finish'} ${id}`, (model, real) => {
		real.table = starts ? real.table.withDispatch(id, work, 0, model.now) : real.table.withFinish(id, work);
	})),
	fc.nat(5000).map(ms => command(`advance ${ms}`, model => {
		model.now += ms;
	})),
	fc.tuple(
		fc.constantFrom(...requestedModels),
		fc.subarray(ids, {maxLength: 4}),
		fc.boolean(),
		fc.integer({min: 0, max: 999}),
	).map(([wanted, excluded, affine, draw]) => command(`choose ${wanted} without ${excluded.join(' ')}`, (model, real) => {
		const choice = chooseReplica(real.table, {
			...work,
			model: wanted,
			zone: 'z0',
			region: 'r0',
			prefixes: affine ? [{hash: 'aa', tokens: 50}, {hash: 'bb', tokens: 90}] : [],
			prefixLookup: {hints: [{replicaId: 'r3', cachedTokens: 90}], homeHitRate: 0.5},
			excluded: new Set(excluded),
		}, model.now, () => draw / 1000);
		const eligible = [...model.known].filter(([id, expected]) => serves(expected.offer, wanted)
			&& !expected.listedLeaving && !expected.announcedLeaving && !expected.closed && !excluded.includes(id)).map(([id]) => id);
		if (choice.kind === 'none' ? eligible.length > 0 : !eligible.includes(choice.replica.id)) {
			throw new Error(`chose ${choice.kind === 'none' ? choice.reason : choice.replica.id}, eligible: ${eligible.join(' ')}`);
		}
	})),
];

await t.test('never chooses a leaving, closed, excluded or wrong-model replica, and always finds an eligible one', async t => {
	await initHashing();
	fc.assert(fc.property(fc.commands(commands, {maxCommands: 60, size: 'max'}), list => {
		fc.modelRun(() => ({model: {now: 0, known: new Map<string, Expected>()}, real: {table: RoutingTable.create()}}), list);
	}), parameters);
	t.pass();
});
