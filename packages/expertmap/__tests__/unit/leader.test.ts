/** Guards against a group that can never change its map again after one change was undone. */
import t from 'tap';
import {
	MapLeader, type EngineState, type LeaderEffect, type MapMessage,
} from '#expertmap';

const MEMBERS = ['a', 'b'] as const;
const map = {slots: [[[0], [1]]]};

const state: EngineState = {
	epoch: 1, members: MEMBERS, step: 10, mapVersion: 1, prepared: [], fence: 5,
};

/** Members refuse to prepare and confirm every cancel. */
function replyTo(message: MapMessage): MapMessage | undefined {
	const {group, version, step, epoch, fence, kind} = message;
	const header = {
		group, version, step, epoch, fence,
	};
	if (kind === 'map-query') {
		return {
			...header, kind: 'map-state', round: message.round, state,
		};
	}

	if (kind === 'map-prepare') {
		return {
			...header, kind: 'map-refused', of: 'prepare', reason: 'too-late',
		};
	}

	return kind === 'map-cancel' ? {...header, kind: 'map-cancelled'} : undefined;
}

/** A leader whose members answer every message as given. */
class Driver {
	readonly planned: number[] = [];
	readonly leader = MapLeader.create({
		group: 'g', id: 'a', members: [...MEMBERS], fence: 5, leaseUntil: 1_000_000, record: {installed: {version: 1, map}, highest: 1, fence: 4}, random: () => 0.5,
	}, 0);

	#now = 0;

	run(effects: readonly LeaderEffect[]): void {
		for (const effect of effects) {
			if (effect.kind === 'record') {
				this.planned.push(...(effect.record.planned === undefined ? [] : [effect.record.planned.version]));
				this.run(this.leader.handleRecordOutcome(effect.id, 'done', this.#now));
			} else {
				this.#answer(effect.to, effect.message);
			}
		}
	}

	advance(ms: number): void {
		for (let passed = 0; passed < ms; passed += 100) {
			this.#now += 100;
			this.run(this.leader.tick(this.#now));
		}
	}

	propose(): boolean {
		const result = this.leader.propose(map, this.#now);
		if (result.kind === 'ok') {
			this.run(result.value);
		}

		return result.kind === 'ok';
	}

	#answer(from: string, message: MapMessage): void {
		const reply = replyTo(message);
		if (reply !== undefined) {
			this.run(this.leader.handleMessage(from, reply, this.#now));
		}
	}
}

await t.test('each change after an undone one has a new version', t => {
	const driver = new Driver();
	for (let round = 0; round < 3; round += 1) {
		driver.advance(2000);
		t.equal(driver.propose(), true, `proposal ${round} is taken`);
		driver.advance(2000);
		t.equal(driver.leader.record.planned, undefined, 'undone');
	}

	t.same(driver.planned, [2, 3, 4]);
	t.end();
});
