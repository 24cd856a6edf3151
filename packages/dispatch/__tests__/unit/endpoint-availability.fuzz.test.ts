/** Sequences of all reasons why an endpoint gets no new work, against a model that keeps each as one plain value. */
import fc from 'fast-check';
import t from 'tap';
import {
	EndpointAvailability, EndpointDirectory, EndpointHealth, EndpointLimits, isClosed, type EndpointRecord,
} from '#dispatch';
import {createFuzzCommand, fuzzParameters} from '#tooling';

const parameters = fuzzParameters({seed: 20_261_205, runs: 1000});

/** An endpoint of which one process runs at a time; the registry shows any of its states late, but in order. */
class World {
	now = 0;
	readonly directory = EndpointDirectory.create();
	readonly limits = EndpointLimits.create();
	readonly health = EndpointHealth.create();
	readonly availability = EndpointAvailability.create({directory: this.directory, limits: this.limits, health: this.health});
	/** Registrations in the order of their revisions. */
	readonly registrations: EndpointRecord[] = [];

	constructor() {
		this.register(1, false);
	}

	get latest(): EndpointRecord {
		return this.registrations.at(-1)!;
	}

	register(startedAt: number, isLeaving: boolean): void {
		this.registrations.push({
			id: 'a', service: 's', address: '127.0.0.1:1', zone: 'z', slots: 4, isLeaving, startedAt, revision: this.registrations.length + 1,
		});
		this.directory.put(this.latest);
	}
}

type Model = {
	startedAt: number;
	isLeaving: boolean;
	waitUntil: number;
	/** Whether the endpoint has not been tried since its last wait, and whether it is being tried. */
	trial: 'none' | 'needed' | 'running';
	limitedUntil: number;
	backoffUntil: number;
};

function createModel(): Model {
	return {
		startedAt: 1, isLeaving: false, waitUntil: 0, trial: 'none', limitedUntil: 0, backoffUntil: 0,
	};
}

function expectedOf(model: Model, now: number): string | undefined {
	if (model.isLeaving) {
		return 'leaving';
	}

	if (model.waitUntil > now && model.waitUntil >= model.limitedUntil) {
		return 'waiting';
	}

	if (model.limitedUntil > now) {
		return 'limited';
	}

	return model.trial === 'running' ? 'on-trial' : (model.backoffUntil > now ? 'backoff' : undefined);
}

const command = (label: string, step: (model: Model, world: World) => void) => createFuzzCommand<Model, World>(label, (model, world) => {
	step(model, world);
	const reason = world.availability.reasonAgainst(world.latest, world.now);
	const expected = expectedOf(model, world.now);
	if (reason?.kind !== expected) {
		throw new Error(`${reason?.kind} instead of ${expected}`);
	}
});

const pass = fc.integer({min: 1, max: 3000}).map(ms => command(`pass ${ms} ms`, (_, world) => {
	world.now += ms;
}));
const refuse = fc.tuple(fc.constantFrom(undefined, 0, 0.25, 1, 2.5), fc.boolean()).map(([retryAfterS, isOfTrial]) => command(`refuse ${retryAfterS} ${isOfTrial}`, (model, world) => {
	const isTrial = isOfTrial && model.trial === 'running';
	world.availability.recordHead(world.latest, {isLeaving: false, isNotRun: true, retryAfterS}, {isTrial, now: world.now});
	model.trial = isTrial ? 'needed' : model.trial;
	if ((retryAfterS ?? 0) > 0) {
		model.waitUntil = Math.max(model.waitUntil, world.now + (retryAfterS! * 1000));
		model.trial = model.trial === 'none' ? 'needed' : model.trial;
	}
}));
const answer = fc.boolean().map(isOfTrial => command(`answer ${isOfTrial}`, (model, world) => {
	const isTrial = isOfTrial && model.trial === 'running';
	world.availability.recordHead(world.latest, {isLeaving: false, isNotRun: false, retryAfterS: undefined}, {isTrial, now: world.now});
	if (isTrial) {
		model.trial = model.waitUntil <= world.now ? 'none' : 'needed';
	}
}));
const send = fc.constant(command('send', (model, world) => {
	const isOpen = !isClosed(world.availability.reasonAgainst(world.latest, world.now));
	const admission = world.availability.admit(world.latest, world.now);
	const expected = isOpen ? (model.trial === 'none' ? 'open' : 'trial') : 'closed';
	if (admission !== expected) {
		throw new Error(`${admission} instead of ${expected}`);
	}

	model.trial = admission === 'trial' ? 'running' : model.trial;
}));
const loseTrial = fc.constant(command('a trial ends without an answer', (model, world) => {
	if (model.trial === 'running') {
		world.availability.endTrial(world.latest);
		model.trial = 'needed';
	}
}));
const leaveByAnswer = fc.constant(command('leave by answer', (model, world) => {
	world.availability.recordHead(world.latest, {isLeaving: true, isNotRun: false, retryAfterS: undefined}, {isTrial: false, now: world.now});
	model.isLeaving = true;
}));
const lateAnswer = fc.nat().map(index => command(`late answer ${index}`, (model, world) => {
	const registration = world.registrations[index % world.registrations.length]!;
	if (registration.startedAt !== model.startedAt) {
		world.availability.recordHead(registration, {isLeaving: index % 2 === 0, isNotRun: true, retryAfterS: 1}, {isTrial: false, now: world.now});
	}
}));
const leaveByRegistry = fc.constant(command('leave by registry', (model, world) => {
	world.register(model.startedAt, true);
	model.isLeaving = true;
}));
const restart = fc.constant(command('restart', (model, world) => {
	model.startedAt += 1;
	world.register(model.startedAt, false);
	model.isLeaving = false;
	model.waitUntil = 0;
	model.trial = 'none';
}));
const heartbeat = fc.constant(command('register again', (model, world) => {
	world.register(model.startedAt, false);
}));
const staleRead = fc.nat().map(index => command(`stale read ${index}`, (_, world) => {
	world.directory.put(world.registrations[index % world.registrations.length]!);
}));
const staleWord = fc.nat().map(index => command(`older word of an entry ${index}`, (model, world) => {
	const {id, startedAt, revision} = world.registrations[index % world.registrations.length]!;
	if (startedAt !== model.startedAt) {
		world.directory.addTombstone({id, startedAt, revision});
	}
}));
const deny = fc.integer({min: 1, max: 2000}).map(ms => command(`deny ${ms} ms`, (model, world) => {
	world.limits.record('a', 1, world.now);
	world.limits.recordDenial('a', ms, world.now);
	model.limitedUntil = world.now + ms;
}));
const fail = fc.constant(command('fill', (model, world) => {
	const before = world.health.isInBackoff('a', world.now);
	world.health.record('a', 'full', world.now);
	model.backoffUntil = before ? model.backoffUntil : world.now;
	while (world.health.isInBackoff('a', model.backoffUntil)) {
		model.backoffUntil += 1;
	}
}));

void t.test('the reason is the one of a plain model after any sequence', async t => {
	await fc.assert(fc.asyncProperty(fc.commands([pass, pass, refuse, refuse, answer, answer, send, send, send, loseTrial, leaveByAnswer, leaveByRegistry, restart, restart, heartbeat, staleRead, staleWord, lateAnswer, deny, fail], {maxCommands: 100, size: 'max'}), async commands => {
		await fc.asyncModelRun(() => ({model: createModel(), real: new World()}), commands);
	}), parameters);
	t.pass();
});
