import {Buffer} from 'node:buffer';
import t from 'tap';
import fc from 'fast-check';
import {invariant} from '#core';
import {
	ClaimStore, createClaimOutcome, hashClaimBody, hashClaimKey, shardOfClaim, type ClaimResponse, type ClaimKey, type ClaimRequest,
} from '#coordination';
import {
	MemoryStore, flushPromises, storeCommands, type CallOutcome,
} from '#standins-platform';
import {createFuzzCommandFactory, fuzzParameters} from '#tooling';

const SEED = 20_263;
const RUNS = 400;
const RETENTION_MS = 10_000;
const CANDIDATES = Array.from({length: 1000}, (_, index): ClaimKey => ({workspace: 'w', service: 's', idempotencyKey: `k${index}`}));
const SHARD = shardOfClaim(CANDIDATES[0]!);
/** Three keys of one shard and one key of another. */
const KEYS = [...CANDIDATES.filter(key => shardOfClaim(key) === SHARD).slice(0, 3), CANDIDATES.find(key => shardOfClaim(key) !== SHARD)!];

type Claim = {
	readonly request: ClaimRequest;
	readonly since: number;
	readonly recorded: Set<string>;
	requested: number;
	responded: number;
	granted: boolean;
	sent: boolean;
	isAbandoned: boolean;
	/** Status of the outcome that a store confirmed. */
	outcome: number | undefined;
};

/** Two processes (entries) that share the claims; each loses its state in a crash. */
class World {
	readonly store = MemoryStore.create('stepped');
	readonly entries: ClaimStore[] = [];
	time = 0;
	#writes = 0;

	start(entry: number): void {
		this.entries[entry] = ClaimStore.create({
			store: this.store.client(`e${entry}`), createId: () => `w${this.#writes++}`, windowMs: 0, retentionMs: RETENTION_MS, headLimitBytes: 300,
		});
	}

	async finish(): Promise<void> {
		await this.store.respondToAll();
		for (const entry of this.entries) {
			void entry.flush(this.time);
		}

		await this.store.respondToAll();
	}
}

/** Reference model: every claim with the responses that its claimant received. */
class Oracle {
	readonly claims: Claim[] = [];
	/** Violated conditions. Responses arrive outside the commands, so they are collected here and reported after each command. */
	readonly violations: string[] = [];
	readonly counts: Record<ClaimResponse['kind'], number> = {
		granted: 0, held: 0, done: 0, 'key-reused': 0, withdrawn: 0, unavailable: 0,
	};

	request(world: World, entry: number, claim: Claim): void {
		const known = this.knownOutcome(world, claim);
		claim.requested += 1;
		void world.entries[entry]!.claim(claim.request, world.time).then(response => {
			claim.responded += 1;
			this.counts[response.kind] += 1;
			claim.recorded.add(response.kind === 'unavailable' ? response.recorded : 'responded');
			if (response.kind === 'granted') {
				this.#checkGrant(world, claim);
			}

			this.check(response.kind !== 'held' || response.claimId !== claim.request.claimId, `${claim.request.claimId} was reported as held by another claim`);
			this.#checkOutcome(world, {claim, response, known});
		});
	}

	check(condition: boolean, violation: string): void {
		if (!condition) {
			this.violations.push(violation);
		}
	}

	/** @throws InvariantError when a condition was violated since the start. */
	report(): void {
		invariant(this.violations.length === 0, this.violations.join('; '));
	}

	/** A claim of the same key whose outcome a store has confirmed. */
	knownOutcome(world: World, {request}: Claim): Claim | undefined {
		return this.claims.find(other => other.request.key === request.key && other.outcome !== undefined && world.time - other.since <= RETENTION_MS);
	}

	/** Checks the objects at the end: claims that were certainly not stored, or were released, are absent. */
	checkStored(world: World): void {
		// The head takes precedence over the segments, and a newer segment over an older one.
		const orderOf = (name: string) => name.endsWith('/head') ? -Infinity : -Number(name.split('-').at(-1));
		const objects = world.store.table.list('claims/').toSorted((a, b) => orderOf(a.name) - orderOf(b.name));
		const stored = objects.flatMap(({value}) => (value as {entries: ReadonlyArray<{key: string; claimId: string; state: string}>}).entries);
		for (const {request, recorded, requested, responded, since} of this.claims) {
			if (requested > 0 && requested === responded && world.time - since <= RETENTION_MS && recorded.size === 1 && recorded.has('no')) {
				const found = stored.find(entry => entry.key === hashClaimKey(request.key));
				this.check(found?.claimId !== request.claimId || found.state !== 'claimed', `${request.claimId} was reported as not recorded`);
			}
		}
	}

	#checkGrant(world: World, claim: Claim): void {
		claim.granted = true;
		for (const other of this.claims) {
			const isRival = other !== claim && other.request.key === claim.request.key && other.granted && !other.isAbandoned;
			const isExpired = world.time - other.since > RETENTION_MS;
			this.check(!isRival || claim.isAbandoned || isExpired, `${claim.request.claimId} and ${other.request.claimId} were both granted`);
		}
	}

	#checkOutcome(world: World, {claim, response, known}: {claim: Claim; response: ClaimResponse; known: Claim | undefined}): void {
		if (known === undefined || world.time - known.since > RETENTION_MS || response.kind === 'unavailable') {
			return;
		}

		const expected = known.request.bodyHash === claim.request.bodyHash ? 'done' : 'key-reused';
		this.check(response.kind === expected, `${claim.request.claimId} received ${response.kind} instead of ${expected}`);
		this.check(response.kind !== 'done' || response.outcome.status === known.outcome, 'a claim received the outcome of another call');
	}
}

const command = createFuzzCommandFactory<Oracle, World>(async oracle => {
	await flushPromises();
	oracle.report();
});
const entry = fc.nat(1);
const pick = fc.nat(6);
const body = fc.constantFrom('first', 'first', 'first', 'first', 'second');
const loss = fc.constantFrom<CallOutcome>('lose-response', 'lose-request', 'delay');
const flushAndDrain = async (world: World, id: number) => {
	void world.entries[id]!.flush(world.time);
	return world.store.respondToAll();
};

const commands = [
	...[false, true].map(complete => fc.tuple(entry, fc.nat(3), body).map(([id, key, text]) => command(`claim of key ${key} at ${id}, body ${text}, completed: ${complete}`, async (world, oracle) => {
		const claimId = `c${oracle.claims.length}`;
		const claim: Claim = {
			request: {
				key: KEYS[key]!, bodyHash: hashClaimBody(Buffer.from(text)), claimId, claimant: `e${id}`,
			}, since: world.time, recorded: new Set(), requested: 0, responded: 0, granted: false, sent: false, isAbandoned: false, outcome: undefined,
		};
		oracle.claims.push(claim);
		oracle.request(world, id, claim);
		return complete ? flushAndDrain(world, id) : undefined;
	}))),
	fc.tuple(entry, pick).map(([id, index]) => command(`resend ${index} at ${id}`, (world, oracle) => {
		const claim = oracle.claims.at(-1 - index);
		if (claim !== undefined && !claim.isAbandoned) {
			oracle.request(world, id, claim);
		}
	})),
	...[false, true].map(complete => fc.tuple(entry, pick).map(([id, index]) => command(`finish ${index} at ${id}${complete ? ', completed' : ''}`, async (world, oracle) => {
		const claim = oracle.claims.filter(({granted, isAbandoned}) => granted && !isAbandoned).at(-1 - index);
		if (claim === undefined) {
			return;
		}

		claim.sent = true;
		const status = oracle.claims.indexOf(claim);
		void world.entries[id]!.finish(claim.request.key, claim.request.claimId, {outcome: createClaimOutcome(status, Buffer.from('x'.repeat(status * 20))), now: world.time}).then(response => {
			oracle.check(response.kind !== 'not-held' || world.time - claim.since > RETENTION_MS, `${claim.request.claimId} no longer holds its key`);
			claim.outcome = response.kind === 'recorded' ? status : claim.outcome;
		});
		await (complete ? flushAndDrain(world, id) : undefined);
	}))),
	fc.tuple(entry, pick).map(([id, index]) => command(`release ${index} at ${id}`, (world, oracle) => {
		const claim = oracle.claims.at(-1 - index);
		if (claim === undefined || claim.sent) {
			return;
		}

		claim.isAbandoned = true;
		const settled = claim.responded === claim.requested;
		void world.entries[id]!.release(claim.request.key, claim.request.claimId, world.time).then(response => {
			oracle.check(response.kind !== 'already-done', 'a released claim has an outcome');
			if (response.kind === 'released' && settled) {
				claim.recorded.clear();
				claim.recorded.add('no');
			}
		});
	})),
	...Array.from({length: 2}, () => entry.map(id => command(`flush ${id}`, world => {
		void world.entries[id]!.flush(world.time);
	}))),
	...Array.from({length: 2}, () => fc.tuple(entry, loss).map(([id, fate]) => command(`outage after a write of ${id} with ${fate}`, async world => {
		void world.entries[id]!.flush(world.time);
		await flushPromises();
		if (world.store.pending.at(-1)?.kind === 'read') {
			await world.store.step(world.store.pending.length - 1, 'respond');
		}

		await world.store.simulateOutage(fate);
	}))),
	entry.map(id => command(`flush ${id} and complete its calls`, async world => flushAndDrain(world, id))),
	...storeCommands(command),
	fc.tuple(entry, fc.boolean()).map(([id, sent]) => command(`crash ${id} ${sent}`, world => {
		world.store.kill(`e${id}`, sent);
		world.start(id);
	})),
	fc.constantFrom(1, 100, 2500, 6000).map(ms => command(`advance ${ms}`, world => {
		world.time += ms;
	})),
];

await t.test('a key is granted to one claim, and later claims receive its recorded outcome', async t => {
	const counts: Record<string, number> = {sealed: 0};
	await fc.assert(fc.asyncProperty(fc.commands(commands, {maxCommands: 100, size: 'max'}), async steps => {
		const world = new World();
		const oracle = new Oracle();
		world.start(0);
		world.start(1);
		await fc.asyncModelRun(() => ({model: oracle, real: world}), steps);
		await world.finish();
		world.store.executeAllDelayed();
		oracle.checkStored(world);
		for (const claim of oracle.claims) {
			oracle.request(world, 0, {...claim, request: {...claim.request, claimId: `${claim.request.claimId}-again`}, since: world.time});
		}

		await world.finish();
		oracle.report();
		counts.sealed! += world.store.table.list('claims/').filter(({name}) => name.includes('/seg-')).length;
		for (const [kind, count] of Object.entries(oracle.counts)) {
			counts[kind] = (counts[kind] ?? 0) + count;
		}
	}), fuzzParameters({seed: SEED, runs: RUNS}));
	for (const kind of ['granted', 'held', 'done', 'key-reused', 'sealed']) {
		t.ok(counts[kind]! > 0, `${kind} occurs`);
	}

	t.comment(JSON.stringify(counts));
});
