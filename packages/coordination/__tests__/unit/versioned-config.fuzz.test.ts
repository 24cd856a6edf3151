import t from 'tap';
import fc from 'fast-check';
import {invariant} from '#core';
import {
	VersionedConfig, type ApplyResult, type ConfigChange, type ConfigVersion, type ConfigWrite,
} from '#coordination';
import {
	MemoryStore, flushPromises, storeCommands,
} from '#standins-platform';
import {createFuzzCommandFactory, fuzzParameters} from '#tooling';

const SEED = 20_262;
const RUNS = 300;
const NAME = 'config/rules';

type Pending = {readonly change: ConfigChange; result: ApplyResult | undefined};

/** Two operators and two processes; messages between them may arrive late and out of order. */
class World {
	readonly store = MemoryStore.create('stepped');
	readonly holders = [0, 1, 2, 3].map(() => VersionedConfig.create({name: NAME, seeds: ['other']}));
	readonly pending: Array<Pending | undefined> = [];
	readonly definite: Array<{readonly writeId: string; readonly kind: ApplyResult['kind']}> = [];
	readonly messages: Array<ConfigVersion | undefined> = [];
	#writes = 0;

	apply(operator: number): void {
		const before = this.pending[operator];
		if (before !== undefined && before.result === undefined) {
			return;
		}

		const writeId = `w${this.#writes++}`;
		const change = before?.change ?? {
			writeId, text: `text of ${writeId}`, author: `operator ${operator}`, at: 0, baseVersion: this.holders[operator]!.current?.version ?? 0,
		};
		const pending: Pending = {change, result: undefined};
		this.pending[operator] = pending;
		void this.holders[operator]!.apply(this.store.client(`o${operator}`), change, {isRepeat: before !== undefined}).then(result => {
			pending.result = result;
			if (result.kind !== 'unresolved') {
				this.definite.push({writeId: change.writeId, kind: result.kind});
				this.pending[operator] = undefined;
			}
		});
	}
}

/** Every value that was ever stored, and the highest version of each holder. */
class Oracle {
	readonly stored: Array<ConfigVersion & {readonly writes: readonly ConfigWrite[]}> = [];
	readonly highest = [0, 0, 0, 0];

	check(world: World): void {
		for (const [index, value] of this.stored.entries()) {
			invariant(value.version === index + 1, `the store holds version ${value.version} after ${index}`);
		}

		const written = this.stored.map(value => value.writes.at(-1)!.writeId);
		invariant(new Set(written).size === written.length, 'a change was accepted twice');
		for (const {writeId, kind} of world.definite) {
			invariant((kind === 'accepted') === written.includes(writeId), `change ${writeId} had the result ${kind}`);
		}

		for (const [index, holder] of world.holders.entries()) {
			const version = holder.current?.version ?? 0;
			invariant(version >= this.highest[index]!, `holder ${index} reverted from ${this.highest[index]} to ${version}`);
			invariant(version === 0 || this.stored[version - 1]?.text === holder.current?.text, `holder ${index} has another text in version ${version}`);
			this.highest[index] = version;
		}
	}
}

const command = createFuzzCommandFactory<Oracle, World>(async (oracle, world) => {
	await flushPromises();
	oracle.check(world);
});
const operator = fc.nat(1);
const holder = fc.nat(3);
const commands = [
	operator.map(id => command(`apply ${id}`, world => {
		world.apply(id);
	})),
	operator.map(id => command(`apply ${id} and complete its calls`, async world => {
		world.apply(id);
		await world.store.respondToAll();
	})),
	holder.map(id => command(`refresh ${id}`, async world => {
		void world.holders[id]!.refresh(world.store.client(`h${id}`), 0);
	})),
	holder.map(id => command(`restart ${id}, then read the platform`, async (world, oracle) => {
		const before = oracle.stored.length;
		const started = VersionedConfig.create({name: NAME, seeds: ['other']});
		const read = started.refresh(world.store.client('started'), 0);
		await world.store.respondToAll();
		await read;
		invariant(started.isReady && (started.current?.version ?? 0) >= before, 'a started process is ready but lacks the highest version');
		world.holders[id] = started;
	})),
	holder.map(id => command(`send from ${id}`, world => {
		world.messages.push(world.holders[id]!.current);
	})),
	fc.tuple(holder, fc.nat(9)).map(([id, index]) => command(`deliver ${index} to ${id}`, world => {
		const message = world.messages[index % Math.max(1, world.messages.length)];
		if (message !== undefined) {
			world.holders[id]!.offer(message);
		}
	})),
	...storeCommands(command),
];

await t.test('a definite result never changes, and no holder reverts', async t => {
	const counts = {
		accepted: 0, conflict: 0, 'not-accepted': 0, unresolved: 0,
	};
	await fc.assert(fc.asyncProperty(fc.commands(commands, {maxCommands: 60, size: 'max'}), async steps => {
		const world = new World();
		const oracle = new Oracle();
		world.store.table.registerListener(({object}) => {
			oracle.stored.push(object.value as Oracle['stored'][number]);
		});
		await fc.asyncModelRun(() => ({model: oracle, real: world}), steps);
		await world.store.respondToAll();
		// Unresolved changes become definite once the store responds again.
		world.store.automatic = true;
		for (const id of [0, 1]) {
			if (world.pending[id] !== undefined) {
				world.apply(id);
				await flushPromises();
				invariant(world.pending[id] === undefined, 'a change is unresolved although the store responds');
			}
		}

		world.store.executeAllDelayed();
		oracle.check(world);
		for (const {kind} of world.definite) {
			counts[kind] += 1;
		}
	}), fuzzParameters({seed: SEED, runs: RUNS}));
	t.ok(counts.accepted > 0 && counts.conflict > 0, 'both results occur');
	t.comment(JSON.stringify(counts));
});
