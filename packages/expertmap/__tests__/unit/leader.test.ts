/** Guards against reusing the version of a cancelled change: engines refuse a dropped version, so the group could never change its map again. */
import t from 'tap';
import {
	MapLeader, type EngineState, type LeaderEffect, type MapMessage,
} from '#expertmap';

const MEMBERS = ['a', 'b'] as const;
const map = {slots: [[[0], [1]]]};

const state: EngineState = {
	epoch: 1, members: MEMBERS, step: 10, mapVersion: 1, prepared: [], fence: 5,
};

/** Responses of a member that refuses every prepare and confirms every cancel. */
function responseTo(message: MapMessage): MapMessage | undefined {
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

/** A leader whose members respond to every message with `responseTo`. */
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
				this.run(this.leader.handleRecordResult(effect.id, 'done', this.#now));
			} else {
				this.#respond(effect.to, effect.message);
			}
		}
	}

	advance(ms: number): void {
		for (let elapsed = 0; elapsed < ms; elapsed += 100) {
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

	#respond(from: string, message: MapMessage): void {
		const response = responseTo(message);
		if (response !== undefined) {
			this.run(this.leader.handleMessage(from, response, this.#now));
		}
	}
}

await t.test('each change after a cancelled one has a new version', t => {
	const driver = new Driver();
	for (let round = 0; round < 3; round += 1) {
		driver.advance(2000);
		t.equal(driver.propose(), true, `proposal ${round} is accepted`);
		driver.advance(2000);
		t.equal(driver.leader.record.planned, undefined, 'cancelled');
	}

	t.same(driver.planned, [2, 3, 4]);
	t.end();
});
