import fc from 'fast-check';
import t from 'tap';
import {
	BURST_MS, FALLBACK_RISE_MS, GRANT_DECAY_END_MS, GrantLimiter, GrantAllocator, type Demand, type Grant, type WorkspaceLimit,
} from '#limits';
import {fuzzParameters} from '#tooling';

const parameters = fuzzParameters({seed: 20_261_204, runs: 150});
const LIMIT = 1000;
const ENTRIES = 4;
const REQUEST_TOKENS = 50;
const TICK_MS = 250;
const rules: ReadonlyMap<string, WorkspaceLimit> = new Map([['w', {tokensPerSecond: LIMIT, weight: 1, priority: 0}]]);

/** Four entries and a home that exchange reports through a network that loses and delays messages. */
class Cluster {
	now = 0;
	spent = 0;
	/** Entries that are reachable, by index; undefined once dead. */
	readonly entries = new Map<number, {holder: GrantLimiter; reachable: boolean; busy: boolean}>();
	home = GrantAllocator.create();
	/** Entries in the directory over time bound the bursts; a replaced entry brings a new bucket. */
	started = 0;
	/** Time during which entries may use the fallback although the home in office never heard of them, in entry milliseconds. */
	unheardMs = 0;
	lossPercent = 0;
	#next = 0;
	#wires: Array<{readonly at: number; readonly deliver: () => void}> = [];
	/** When the home in office first heard each entry. */
	readonly #heard = new Map<number, number>();
	#homeSince = 0;
	/** Entries that the home before the one in office did not know either. */
	#unknownBefore = new Set<number>();

	constructor() {
		for (let index = 0; index < ENTRIES; index++) {
			this.start();
		}

		this.now = 60_000;
	}

	start(): void {
		const index = this.#next++;
		const holder = GrantLimiter.create(`e${index}`, this.now);
		holder.setRules(rules);
		this.entries.set(index, {holder, reachable: true, busy: true});
		this.started++;
		this.announce();
	}

	announce(): void {
		this.home.setRules(rules);
		this.home.setEntries(new Set([...this.entries.keys()].map(index => `e${index}`)), this.now);
		for (const {holder} of this.entries.values()) {
			holder.setKnownEntries(this.entries.size);
		}
	}

	/** Entry replaced: the dead one leaves the directory and a new one joins. */
	replace(index: number): void {
		if (this.entries.delete(index)) {
			this.start();
		}
	}

	/** A home that has not heard an entry yet cannot reserve the fallback that this entry may use. */
	replaceHome(): void {
		this.home = GrantAllocator.create();
		this.#unknownBefore = new Set([...this.entries.keys()].filter(index => this.#isUnknown(index) || !this.#heard.has(index)));
		this.#homeSince = this.now;
		this.#heard.clear();
		this.announce();
	}

	/** Advances in ticks; every busy entry spends whatever it is allowed to, in random order of `random`. */
	run(ms: number, delayMs: number, random: () => number): void {
		for (const end = this.now + ms; this.now < end; this.now += TICK_MS) {
			this.#deliver();
			this.#checkRates();
			for (const [index, entry] of this.entries) {
				if (entry.busy) {
					this.#spend(entry.holder);
				}

				if (this.now % 1000 === 0) {
					const demands = entry.holder.demands(this.now);
					for (const demand of demands) {
						this.#report(index, demand, delayMs, random);
					}

					// An idle entry gives up its share, and the home need not know it any more.
					if (demands.length === 0) {
						this.#heard.delete(index);
					}
				}

				this.unheardMs += this.#isUnknown(index) ? TICK_MS : 0;
			}
		}
	}

	/** The rates in force never add up to more than the limit, but for the fallback of entries that the home never heard of. */
	#checkRates(): void {
		let sum = 0;
		for (const {holder} of this.entries.values()) {
			sum += holder.rate('w', this.now);
		}

		const unheard = [...this.entries.keys()].filter(index => this.#isUnknown(index)).length;
		const allowed = LIMIT * (1 + (unheard / ENTRIES));
		if (sum > allowed + 1e-6) {
			throw new Error(`rates add up to ${sum}, allowed ${allowed} at ${this.now}`);
		}
	}

	/**
	 * Whether the home could not count the entry: a new home only renews grants for 5 s, in which it hears all
	 * that can reach it; grants given before it heard a later one last for 5 s and a report's delay more.
	 */
	#isUnknown(index: number): boolean {
		const quietUntil = this.#homeSince + GRANT_DECAY_END_MS;
		const first = this.#heard.get(index) ?? this.now;
		const isLate = this.#unknownBefore.has(index) || (this.now > quietUntil && first > quietUntil);
		return isLate && this.now - first < 2 * GRANT_DECAY_END_MS;
	}

	#spend(holder: GrantLimiter): void {
		for (let tries = 0; tries < 200 && holder.spend('w', REQUEST_TOKENS, this.now).kind === 'spent'; tries++) {
			this.spent += REQUEST_TOKENS;
		}
	}

	#report(index: number, demand: Demand, delayMs: number, random: () => number): void {
		this.#send(index, delayMs * random(), random, () => {
			this.#heard.set(index, this.#heard.get(index) ?? this.now);
			const grant = this.home.onDemand(demand, this.now);
			if (grant !== undefined) {
				this.#answer(index, grant, delayMs, random);
			}
		});
	}

	#answer(index: number, grant: Grant, delayMs: number, random: () => number): void {
		this.#send(index, delayMs * random(), random, () => this.entries.get(index)?.holder.onGrant(grant, this.now));
	}

	#send(index: number, delayMs: number, random: () => number, deliver: () => void): void {
		if (this.entries.get(index)?.reachable === true && random() * 100 >= this.lossPercent) {
			this.#wires.push({at: this.now + delayMs, deliver});
		}
	}

	#deliver(): void {
		const due = this.#wires.filter(({at}) => at <= this.now);
		this.#wires = this.#wires.filter(({at}) => at > this.now);
		for (const {deliver} of due) {
			deliver();
		}
	}
}

const step = fc.record({
	kind: fc.constantFrom('run', 'run', 'run', 'partition', 'heal', 'replace', 'idle', 'loss', 'home'),
	index: fc.nat(6),
	ms: fc.integer({min: 1, max: 40}).map(count => count * TICK_MS),
	delayMs: fc.nat(3000),
	lossPercent: fc.nat(80),
});

await t.test('spending over all entries stays within the limit plus one burst for each entry, whatever is lost', t => {
	fc.assert(fc.property(fc.array(step, {maxLength: 40, size: 'max'}), fc.integer({min: 1, max: 2_147_483_646}), (steps, seed) => {
		const cluster = new Cluster();
		const startAt = cluster.now;
		let state = seed;
		const random = () => {
			state = (state * 16_807) % 2_147_483_647;
			return state / 2_147_483_647;
		};

		for (const {kind, index, ms, delayMs, lossPercent} of steps) {
			const entry = cluster.entries.get(index);
			switch (kind) {
				case 'run': {
					cluster.run(ms, delayMs, random);
					break;
				}

				case 'replace': {
					cluster.replace(index);
					break;
				}

				case 'home': {
					cluster.replaceHome();
					break;
				}

				case 'loss': {
					cluster.lossPercent = lossPercent;
					break;
				}

				case 'idle': {
					Object.assign(entry ?? {}, {busy: !entry?.busy});
					break;
				}

				case 'partition':
				case 'heal': {
					Object.assign(entry ?? {}, {reachable: kind === 'heal'});
				}
			}

			const fallback = LIMIT / ENTRIES;
			// A bucket holds up to 2 s of the entry's rate and may end in debt by one request.
			const burst = (LIMIT * BURST_MS / 1000) + (cluster.started * ((fallback * BURST_MS / 1000) + REQUEST_TOKENS));
			const unheard = fallback * cluster.unheardMs / 1000;
			const allowed = (LIMIT * (cluster.now - startAt) / 1000) + burst + unheard;
			if (cluster.spent > allowed) {
				throw new Error(`spent ${cluster.spent}, allowed ${allowed} after ${cluster.now - startAt} ms`);
			}
		}
	}), parameters);
	t.pass();
	t.end();
});

await t.test('with a working network the limit is used in full and follows the demand', t => {
	const cluster = new Cluster();
	cluster.run(20_000, 0, () => 0.5);
	const before = cluster.spent;
	for (const index of [0, 1, 2]) {
		Object.assign(cluster.entries.get(index) ?? {}, {busy: false});
	}

	cluster.run(FALLBACK_RISE_MS, 0, () => 0.5);
	const middle = cluster.spent;
	cluster.run(20_000, 0, () => 0.5);
	t.ok(before >= 0.6 * LIMIT * 20, `four entries spent ${before}, 5 s of which may pass before a new home grants`);
	t.ok(cluster.spent - middle >= 0.9 * LIMIT * 20, `the one busy entry spent ${cluster.spent - middle} of ${LIMIT * 20}`);
	t.end();
});
