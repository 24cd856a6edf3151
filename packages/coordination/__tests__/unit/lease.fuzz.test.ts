import t from 'tap';
import fc from 'fast-check';
import {invariant} from '#core';
import {FenceChecker, Lease} from '#coordination';
import {MemoryStore, flushPromises, storeCommands} from '#standins-platform';
import {createFuzzCommandFactory, fuzzParameters} from '#tooling';

const SEED = 20_261;
const RUNS = 300;
const NAME = 'groups/g/lease';

/** Processes whose clocks differ in offset and rate; a process only runs in the commands that name it. */
class World {
	readonly store = MemoryStore.create('stepped');
	readonly leases: Lease[] = [];
	time = 0;
	#incarnations = 0;
	#writes = 0;

	start(process: number): void {
		this.#incarnations += 1;
		this.leases[process] = Lease.create({
			store: this.store.client(`p${process}`), name: NAME, holder: `p${process}#${this.#incarnations}`, createId: () => `w${this.#writes++}`,
		});
	}

	clock(process: number): number {
		return (process * 1e6) + (this.time * (0.97 + (process * 0.03)));
	}
}

/** Checks that there is one holder at a time, one owner per fencing token, and that a receiver's accepted token never decreases. */
class Oracle {
	readonly owners = new Map<number, Lease>();
	readonly lastFence = new Map<number, number>();
	readonly checker = FenceChecker.create();
	admitted = 0;

	check(world: World): void {
		const held = world.leases.map((lease, process) => ({lease, process, held: lease.held(world.clock(process))})).filter(entry => entry.held !== undefined);
		invariant(held.length <= 1, `${held.length} processes hold the lease`);
		for (const {lease, process, held: own} of held) {
			const {fence} = own!;
			invariant((this.owners.get(fence) ?? lease) === lease, `fence ${fence} was given to two holders`);
			invariant(this.owners.has(fence) || [...this.owners.keys()].every(other => other < fence), `fence ${fence} is not the highest`);
			this.owners.set(fence, lease);
			this.lastFence.set(process, fence);
		}
	}

	/** Sends an order of a process that may have been paused since it held the lease. */
	order(process: number): void {
		const fence = this.lastFence.get(process) ?? 0;
		const result = this.checker.check(fence);
		invariant(result.kind !== 'admitted' || fence >= this.admitted, `order with fence ${fence} admitted after ${this.admitted}`);
		this.admitted = result.kind === 'admitted' ? fence : this.admitted;
	}
}

const command = createFuzzCommandFactory<Oracle, World>(async (oracle, world) => {
	await flushPromises();
	oracle.check(world);
});
const process = fc.nat(2);
const commands = [
	fc.nat(9000).map(ms => command(`advance ${ms}`, world => {
		world.time += ms;
	})),
	process.map(id => command(`acquire ${id}`, world => {
		void world.leases[id]!.acquire(world.clock(id));
	})),
	process.map(id => command(`renew ${id}`, world => {
		void world.leases[id]!.renew(world.clock(id));
	})),
	process.map(id => command(`release ${id}`, world => {
		void world.leases[id]!.release();
	})),
	fc.tuple(process, fc.boolean()).map(([id, sent]) => command(`restart ${id} ${sent}`, world => {
		world.store.kill(`p${id}`, sent);
		world.start(id);
	})),
	...Array.from({length: 4}, () => fc.tuple(process, fc.constantFrom(0, 300, 2000, 6000, 13_400, 15_500)).map(([id, ms]) => command(`complete acquire ${id} after ${ms}`, async world => {
		world.time += ms;
		void world.leases[id]!.acquire(world.clock(id));
		await world.store.respondToAll();
	}))),
	...storeCommands(command),
	process.map(id => command(`order ${id}`, (_, oracle) => {
		oracle.order(id);
	})),
];

await t.test('two processes never hold the lease at the same time, and fencing tokens only increase', async () => {
	const held = {fences: 0};
	await fc.assert(fc.asyncProperty(fc.commands(commands, {maxCommands: 80, size: 'max'}), async steps => {
		const world = new World();
		const oracle = new Oracle();
		oracle.checker.observe({kind: 'platform', fence: 0});
		for (const id of [0, 1, 2]) {
			world.start(id);
		}

		await fc.asyncModelRun(() => ({model: oracle, real: world}), steps);
		await world.store.respondToAll();
		oracle.check(world);
		held.fences += oracle.owners.size;
	}), fuzzParameters({seed: SEED, runs: RUNS}));
	t.ok(held.fences > 0, 'leases were granted');
	t.comment(`${held.fences} leases were granted`);
});
