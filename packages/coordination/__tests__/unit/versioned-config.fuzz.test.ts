import t from 'tap';
import fc from 'fast-check';
import {invariant} from '#core';
import {
	VersionedConfig, type ApplyResult, type ConfigChange, type ConfigVersion, type ConfigWrite,
} from '#coordination';
import {
	MemoryStore, settle, storeSteps,
} from '#standins-platform';
import {fuzzCommands, fuzzParameters} from '#tooling';

const SEED = 20_262;
const RUNS = 300;
const NAME = 'config/rules';

type Pending = {readonly change: ConfigChange; answer: ApplyResult | undefined};

/** Two operators and two processes; messages between processes may arrive late and out of order. */
class World {
	readonly store = MemoryStore.create('stepped');
	readonly holders = [0, 1, 2, 3].map(() => VersionedConfig.create({name: NAME, seeds: ['other']}));
	readonly pending: Array<Pending | undefined> = [];
	readonly definite: Array<{readonly writeId: string; readonly kind: ApplyResult['kind']}> = [];
	readonly mail: Array<ConfigVersion | undefined> = [];
	#writes = 0;

	apply(operator: number): void {
		const before = this.pending[operator];
		if (before !== undefined && before.answer === undefined) {
			return;
		}

		const writeId = `w${this.#writes++}`;
		const change = before?.change ?? {
			writeId, text: `text of ${writeId}`, author: `operator ${operator}`, at: 0, baseVersion: this.holders[operator]!.current?.version ?? 0,
		};
		const pending: Pending = {change, answer: undefined};
		this.pending[operator] = pending;
		void this.holders[operator]!.apply(this.store.client(`o${operator}`), change, {isRepeat: before !== undefined}).then(answer => {
			pending.answer = answer;
			if (answer.kind !== 'unresolved') {
				this.definite.push({writeId: change.writeId, kind: answer.kind});
				this.pending[operator] = undefined;
			}
		});
	}
}

/** Every value the store ever held, and the highest version each holder had. */
class Oracle {
	readonly truth: Array<ConfigVersion & {readonly writes: readonly ConfigWrite[]}> = [];
	readonly highest = [0, 0, 0, 0];

	check(world: World): void {
		for (const [index, value] of this.truth.entries()) {
			invariant(value.version === index + 1, `the store holds version ${value.version} after ${index}`);
		}

		const written = this.truth.map(value => value.writes.at(-1)!.writeId);
		invariant(new Set(written).size === written.length, 'a change was accepted twice');
		for (const {writeId, kind} of world.definite) {
			invariant((kind === 'accepted') === written.includes(writeId), `change ${writeId} was answered ${kind}`);
		}

		for (const [index, holder] of world.holders.entries()) {
			const version = holder.current?.version ?? 0;
			invariant(version >= this.highest[index]!, `holder ${index} reverted from ${this.highest[index]} to ${version}`);
			invariant(version === 0 || this.truth[version - 1]?.text === holder.current?.text, `holder ${index} has another text in version ${version}`);
			this.highest[index] = version;
		}
	}
}

const command = fuzzCommands<Oracle, World>(async (oracle, world) => {
	await settle();
	oracle.check(world);
});
const operator = fc.nat(1);
const holder = fc.nat(3);
const commands = [
	operator.map(id => command(`apply ${id}`, world => {
		world.apply(id);
	})),
	operator.map(id => command(`apply ${id} with answers`, async world => {
		world.apply(id);
		await world.store.drain();
	})),
	holder.map(id => command(`refresh ${id}`, async world => {
		void world.holders[id]!.refresh(world.store.client(`h${id}`), 0);
	})),
	holder.map(id => command(`restart ${id}, then read the platform`, async (world, oracle) => {
		const before = oracle.truth.length;
		const started = VersionedConfig.create({name: NAME, seeds: ['other']});
		const read = started.refresh(world.store.client('started'), 0);
		await world.store.drain();
		await read;
		invariant(started.isReady && (started.current?.version ?? 0) >= before, 'a started process is ready without the highest version');
		world.holders[id] = started;
	})),
	holder.map(id => command(`mail from ${id}`, world => {
		world.mail.push(world.holders[id]!.current);
	})),
	fc.tuple(holder, fc.nat(9)).map(([id, index]) => command(`mail ${index} to ${id}`, world => {
		const message = world.mail[index % Math.max(1, world.mail.length)];
		if (message !== undefined) {
			world.holders[id]!.offer(message);
		}
	})),
	...storeSteps(command),
];

await t.test('a definite answer is true for good, and no holder reverts', async t => {
	const counts = {
		accepted: 0, conflict: 0, 'not-accepted': 0, unresolved: 0,
	};
	await fc.assert(fc.asyncProperty(fc.commands(commands, {maxCommands: 60, size: 'max'}), async steps => {
		const world = new World();
		const oracle = new Oracle();
		world.store.table.registerListener(({object}) => {
			oracle.truth.push(object.value as Oracle['truth'][number]);
		});
		await fc.asyncModelRun(() => ({model: oracle, real: world}), steps);
		await world.store.drain();
		// Whatever is unresolved becomes definite once the store answers again.
		world.store.automatic = true;
		for (const id of [0, 1]) {
			if (world.pending[id] !== undefined) {
				world.apply(id);
				await settle();
				invariant(world.pending[id] === undefined, 'a change is unresolved although the store answers');
			}
		}

		world.store.deliverAllDelayed();
		oracle.check(world);
		for (const {kind} of world.definite) {
			counts[kind] += 1;
		}
	}), fuzzParameters({seed: SEED, runs: RUNS}));
	t.ok(counts.accepted > 0 && counts.conflict > 0, 'both answers occur');
	t.comment(JSON.stringify(counts));
});
