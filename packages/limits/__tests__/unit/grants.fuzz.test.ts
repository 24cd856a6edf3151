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

/** Simulation of four entries and an owner that exchange reports over a network that loses and delays messages. */
class Cluster {
	now = 0;
	spent = 0;
	/** Live entries by index. */
	readonly entries = new Map<number, {limiter: GrantLimiter; reachable: boolean; busy: boolean}>();
	allocator = GrantAllocator.create();
	/** Number of entries started so far. It bounds the bursts, since a replacement entry starts with a new bucket. */
	started = 0;
	/** Total time, summed over entries, in which they may use the fallback rate although the current owner has no report of them, milliseconds. */
	unknownEntryMs = 0;
	lossPercent = 0;
	#next = 0;
	#inTransit: Array<{readonly at: number; readonly deliver: () => void}> = [];
	/** Time when the current owner first received a report of each entry. */
	readonly #firstReportAt = new Map<number, number>();
	#ownerStartedAt = 0;
	/** Entries that the previous owner did not know either. */
	#unknownToPreviousOwner = new Set<number>();

	constructor() {
		for (let index = 0; index < ENTRIES; index++) {
			this.start();
		}

		this.now = 60_000;
	}

	start(): void {
		const index = this.#next++;
		const limiter = GrantLimiter.create(`e${index}`, this.now);
		limiter.setRules(rules);
		this.entries.set(index, {limiter, reachable: true, busy: true});
		this.started++;
		this.updateDirectory();
	}

	updateDirectory(): void {
		this.allocator.setRules(rules);
		this.allocator.setEntries(new Set([...this.entries.keys()].map(index => `e${index}`)), this.now);
		for (const {limiter} of this.entries.values()) {
			limiter.setKnownEntries(this.entries.size);
		}
	}

	/** Replaces an entry: it is removed from the directory and a new one joins. */
	replace(index: number): void {
		if (this.entries.delete(index)) {
			this.start();
		}
	}

	/** Replaces the owner. An owner without a report of an entry cannot reserve the fallback rate that the entry may use. */
	replaceOwner(): void {
		this.allocator = GrantAllocator.create();
		this.#unknownToPreviousOwner = new Set([...this.entries.keys()].filter(index => this.#isUnknown(index) || !this.#firstReportAt.has(index)));
		this.#ownerStartedAt = this.now;
		this.#firstReportAt.clear();
		this.updateDirectory();
	}

	/** Advances the time in ticks, in each of which every busy entry spends as much as it may; `random` determines loss and delay of messages. */
	run(ms: number, delayMs: number, random: () => number): void {
		for (const end = this.now + ms; this.now < end; this.now += TICK_MS) {
			this.#deliver();
			this.#checkRates();
			for (const [index, entry] of this.entries) {
				if (entry.busy) {
					this.#spend(entry.limiter);
				}

				if (this.now % 1000 === 0) {
					const demands = entry.limiter.demands(this.now);
					for (const demand of demands) {
						this.#report(index, demand, delayMs, random);
					}

					// An idle entry releases its share, so the owner does not need to know it any more.
					if (demands.length === 0) {
						this.#firstReportAt.delete(index);
					}
				}

				this.unknownEntryMs += this.#isUnknown(index) ? TICK_MS : 0;
			}
		}
	}

	/** Checks that the sum of all rates does not exceed the limit, apart from the fallback rates of entries unknown to the owner. */
	#checkRates(): void {
		let sum = 0;
		for (const {limiter} of this.entries.values()) {
			sum += limiter.rate('w', this.now);
		}

		const unknownCount = [...this.entries.keys()].filter(index => this.#isUnknown(index)).length;
		const allowed = LIMIT * (1 + (unknownCount / ENTRIES));
		if (sum > allowed + 1e-6) {
			throw new Error(`rates add up to ${sum}, allowed ${allowed} at ${this.now}`);
		}
	}

	/**
	 * Whether the owner could not take the entry into account. A new owner only renews grants for 5 s, in which it receives
	 * a report of every entry that can reach it. Grants issued before the first report of a later entry remain valid for
	 * 5 s plus the delay of a report.
	 */
	#isUnknown(index: number): boolean {
		const renewOnlyUntil = this.#ownerStartedAt + GRANT_DECAY_END_MS;
		const first = this.#firstReportAt.get(index) ?? this.now;
		const isLateReport = this.#unknownToPreviousOwner.has(index) || (this.now > renewOnlyUntil && first > renewOnlyUntil);
		return isLateReport && this.now - first < 2 * GRANT_DECAY_END_MS;
	}

	#spend(limiter: GrantLimiter): void {
		for (let tries = 0; tries < 200 && limiter.spend('w', REQUEST_TOKENS, this.now).kind === 'spent'; tries++) {
			this.spent += REQUEST_TOKENS;
		}
	}

	#report(index: number, demand: Demand, delayMs: number, random: () => number): void {
		this.#send(index, delayMs * random(), random, () => {
			this.#firstReportAt.set(index, this.#firstReportAt.get(index) ?? this.now);
			const grant = this.allocator.onDemand(demand, this.now);
			if (grant !== undefined) {
				this.#respond(index, grant, delayMs, random);
			}
		});
	}

	#respond(index: number, grant: Grant, delayMs: number, random: () => number): void {
		this.#send(index, delayMs * random(), random, () => this.entries.get(index)?.limiter.onGrant(grant, this.now));
	}

	#send(index: number, delayMs: number, random: () => number, deliver: () => void): void {
		if (this.entries.get(index)?.reachable === true && random() * 100 >= this.lossPercent) {
			this.#inTransit.push({at: this.now + delayMs, deliver});
		}
	}

	#deliver(): void {
		const due = this.#inTransit.filter(({at}) => at <= this.now);
		this.#inTransit = this.#inTransit.filter(({at}) => at > this.now);
		for (const {deliver} of due) {
			deliver();
		}
	}
}

const step = fc.record({
	kind: fc.constantFrom('run', 'run', 'run', 'partition', 'heal', 'replace', 'idle', 'loss', 'owner'),
	index: fc.nat(6),
	ms: fc.integer({min: 1, max: 40}).map(count => count * TICK_MS),
	delayMs: fc.nat(3000),
	lossPercent: fc.nat(80),
});

await t.test('total spending stays within the limit plus one burst for each entry, regardless of message loss', t => {
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

				case 'owner': {
					cluster.replaceOwner();
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
			// A bucket contains up to 2 s of the entry's rate and may be overdrawn by one request.
			const burst = (LIMIT * BURST_MS / 1000) + (cluster.started * ((fallback * BURST_MS / 1000) + REQUEST_TOKENS));
			const unknownAllowance = fallback * cluster.unknownEntryMs / 1000;
			const allowed = (LIMIT * (cluster.now - startAt) / 1000) + burst + unknownAllowance;
			if (cluster.spent > allowed) {
				throw new Error(`spent ${cluster.spent}, allowed ${allowed} after ${cluster.now - startAt} ms`);
			}
		}
	}), parameters);
	t.pass();
	t.end();
});

await t.test('without message loss the limit is used in full and allocated by demand', t => {
	const cluster = new Cluster();
	cluster.run(20_000, 0, () => 0.5);
	const before = cluster.spent;
	for (const index of [0, 1, 2]) {
		Object.assign(cluster.entries.get(index) ?? {}, {busy: false});
	}

	cluster.run(FALLBACK_RISE_MS, 0, () => 0.5);
	const middle = cluster.spent;
	cluster.run(20_000, 0, () => 0.5);
	t.ok(before >= 0.6 * LIMIT * 20, `four entries spent ${before}; a new owner may issue no grants for the first 5 s`);
	t.ok(cluster.spent - middle >= 0.9 * LIMIT * 20, `the one busy entry spent ${cluster.spent - middle} of ${LIMIT * 20}`);
	t.end();
});
