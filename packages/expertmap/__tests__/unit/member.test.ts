import t from 'tap';
import {
	MapLeader, MapMember, type LeaderEffect, type MapMessage, type MemberEffect,
} from '#expertmap';
import {EngineRank} from '#standins-engine';

const map = {slots: []};
const members = ['a', 'b', 'c'];
const header = {
	group: 'g', version: 2, step: 9, epoch: 1, fence: 5,
};
const gate: MapMessage = {...header, kind: 'map-gate', arbiter: 'a'};
const go: MapMessage = {...header, kind: 'map-go'};
const query: MapMessage = {...header, kind: 'map-query', round: 1};
const cancel: MapMessage = {...header, kind: 'map-cancel'};

/** A member with its engine; engine calls complete immediately, or never while `isEngineSilent` is set. */
class Harness {
	/** A member whose engine has the gate of a change led by `a`. */
	static gated(id: string): Harness {
		const harness = new Harness(id);
		harness.raiseFence(5);
		harness.receive('a', [{...header, kind: 'map-prepare', map}, gate]);
		return harness;
	}

	readonly rank: EngineRank;
	isEngineSilent = false;
	sent: Array<readonly [to: string, message: MapMessage]> = [];
	#member: MapMember;

	constructor(id: string, kind: 'checks-fence' | 'ignores-fence' = 'ignores-fence') {
		this.rank = EngineRank.create({
			id, kind, epoch: 1, members, mapVersion: 1,
		});
		this.#member = this.#create();
		this.restart();
	}

	restart(): void {
		this.#member = this.#create();
		this.tick(0);
	}

	tick(now: number): void {
		this.#execute(this.#member.tick(now), now);
	}

	raiseFence(fence: number): void {
		this.#execute(this.#member.raiseFence(fence, 0), 0);
	}

	/** Delivers messages and returns the kinds, or the reasons of refusals, of the responses to `from`. */
	receive(from: string, messages: readonly MapMessage[], now = 0): readonly string[] {
		this.sent = [];
		for (const message of messages) {
			this.#execute(this.#member.handleMessage(from, message, now), now);
		}

		return this.sent.filter(([to]) => to === from).map(([, message]) => message.kind === 'map-refused' ? message.reason : message.kind);
	}

	#create(): MapMember {
		return MapMember.create({
			group: 'g', id: this.rank.id, peers: members.filter(id => id !== this.rank.id), random: () => 0.5,
		}, 0);
	}

	#execute(effects: readonly MemberEffect[], now: number): void {
		for (const effect of effects) {
			if (effect.kind === 'send') {
				this.sent.push([effect.to, effect.message]);
			} else if (!this.isEngineSilent) {
				const response = effect.kind === 'order' ? this.rank.order(effect.order, now) : {kind: 'state' as const, state: this.rank.state(now)};
				this.#execute(this.#member.handleEngineResponse(effect.token, response, now), now);
			}
		}
	}
}

await t.test('a member sends no order before it knows the fencing token', t => {
	const harness = new Harness('b');
	t.same(harness.receive('a', [{...header, kind: 'map-prepare', map}]), ['fence-unknown']);
	harness.raiseFence(6);
	t.same(harness.receive('a', [{...header, kind: 'map-prepare', map}]), ['fence'], 'a leader that has lost its lease is refused');
	t.same(harness.receive('a', [{
		...header, fence: 6, kind: 'map-prepare', map,
	}]), ['map-prepared']);
	t.end();
});

await t.test('responses of a gated member', t => {
	const cases: ReadonlyArray<readonly [guard: string, from: string, messages: readonly MapMessage[], expected: readonly string[]]> = [
		['the leader\'s go is executed', 'a', [go], ['map-gone']],
		['go with an old fencing token is refused', 'a', [{...go, fence: 4}], ['fence']],
		['go of another epoch is refused', 'a', [{...go, epoch: 2}], ['no-gate']],
		['go after the response to a query is refused, since peers may cancel on that response', 'a', [query, go], ['map-state', 'frozen']],
		['cancel drops the version, so that no late order can load it again', 'a', [cancel, gate, go], ['map-cancelled', 'too-late', 'frozen']],
		['cancel after go gets the response gone', 'a', [go, cancel], ['map-gone', 'map-gone']],
		['a gate for another change is refused', 'a', [{...gate, version: 3}], ['busy']],
	];
	for (const [guard, from, messages, expected] of cases) {
		t.same(Harness.gated('b').receive(from, messages), expected, guard);
	}

	t.end();
});

await t.test('the arbiter releases its engine last', t => {
	const confirmation = (kind: 'map-gone' | 'map-cancelled'): MapMessage => ({...header, kind});
	for (const [message, kind] of [[go, 'map-gone'], [cancel, 'map-cancelled']] as const) {
		const harness = Harness.gated('a');
		t.same(harness.receive('a', [message]), ['not-last'], `${message.kind} without a confirmation`);
		harness.receive('b', [confirmation(kind)]);
		t.same(harness.receive('a', [message]), ['not-last'], `${message.kind} with one of two confirmations`);
		harness.receive('c', [confirmation(kind)]);
		t.same(harness.receive('a', [message]), [kind], `${message.kind} with all confirmations`);
	}

	t.end();
});

await t.test('a member confirms a cancel only after its engine has confirmed it', t => {
	const harness = Harness.gated('b');
	harness.isEngineSilent = true;
	t.same(harness.receive('a', [cancel]), []);
	t.end();
});

await t.test('after a restart the arbiter is unknown and the engine is not released', t => {
	const harness = Harness.gated('b');
	harness.restart();
	t.same(harness.receive('a', [go, cancel]), ['not-last', 'not-last']);
	t.end();
});

await t.test('while the arbiter is unknown to all peers, states before go do not release the engine', t => {
	const harness = Harness.gated('b');
	harness.restart();
	harness.tick(500);
	for (const id of ['a', 'c']) {
		const state = EngineRank.create({
			id, kind: 'checks-fence', epoch: 1, members, mapVersion: 1,
		}).state(0);
		harness.receive(id, [{
			...header, kind: 'map-state', round: 2, state,
		}], 510);
	}

	t.same(harness.rank.state(510).gate, {version: 2, step: 9, gone: false});
	harness.receive('a', [{
		...header, kind: 'map-state', round: 2, arbiter: 'a',
	}], 520);
	harness.receive('a', [{
		...header, kind: 'map-state', round: 2, state: Harness.gated('a').rank.state(0), arbiter: 'a',
	}], 520);
	t.equal(harness.rank.state(520).gate, undefined, 'once the arbiter is known, another member cancels');
	t.end();
});

await t.test('a gated member queries its peers 500 ms after the last message of the leader, not before', t => {
	const harness = Harness.gated('b');
	for (const [now, count] of [[490, 0], [500, 2]] as const) {
		harness.sent = [];
		harness.tick(now);
		t.equal(harness.sent.filter(([, message]) => message.kind === 'map-query').length, count, `at ${now} ms`);
	}

	t.end();
});

await t.test('a new epoch is entered only if a member of the current one initiates it', t => {
	const reform: MapMessage = {
		...header, kind: 'map-reform', version: 1, epoch: 7, members, base: members, initiator: 'x',
	};
	t.same(Harness.gated('b').receive('x', [reform]), ['epoch']);
	t.same(Harness.gated('b').receive('a', [{...reform, initiator: 'a'}]), ['map-reformed']);
	t.end();
});

await t.test('a leader whose lease has expired sends nothing, and one whose first write conflicts stops', t => {
	const create = () => MapLeader.create({
		group: 'g', id: 'a', members, fence: 5, leaseUntil: 100, record: {installed: {version: 1, map}, highest: 1, fence: 4}, random: () => 0.5,
	}, 0);
	const kinds = (effects: readonly LeaderEffect[]) => new Set(effects.map(effect => effect.kind));
	const paused = create();
	t.same(paused.tick(100), []);
	t.equal(paused.propose(map, 100).kind, 'failed');
	const late = create();
	t.same(kinds(late.tick(0)), new Set(['record', 'send']), 'the first write precedes any order');
	t.same(late.handleRecordResult(1, 'conflict', 1), []);
	t.equal(late.phase, 'lapsed');
	t.end();
});
