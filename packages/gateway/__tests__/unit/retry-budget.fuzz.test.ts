/** The budgets of all entries together keep the bound on retries, with virtual time, restarts and lost sight of others. */
import t from 'tap';
import fc from 'fast-check';
import {worstExcess} from '../retry-rule.js';
import {invariant} from '#core';
import {RetryBudget} from '#coordination';
import {SlackShare} from '#gateway';
import {fuzzParameters} from '#tooling';

const SEED = 20_265;
const RUNS = 300;
const rule = {fraction: 0.2, windowMs: 10_000, slack: 94};

/** Resolution of the budget's window, in ms. */
const SLOT_MS = 100;
const MAX_ENTRIES = 35;

type Entry = {readonly budget: RetryBudget; readonly view: {isAlone: boolean}};

/** Each step moves time on, and changes some entries or gives them traffic; entries use all retries that their budgets grant. */
const step = fc.record({
	waitMs: fc.oneof(fc.integer({min: 0, max: 3}), fc.integer({min: 0, max: 60})).map(slots => slots * SLOT_MS),
	from: fc.nat(MAX_ENTRIES - 1),
	count: fc.integer({min: 1, max: MAX_ENTRIES}),
	change: fc.oneof(
		fc.record({kind: fc.constant('requests' as const), requests: fc.integer({min: 1, max: 60})}),
		fc.record({kind: fc.constant('retries' as const), retries: fc.integer({min: 1, max: 60})}),
		fc.constant({kind: 'restart' as const}),
		fc.record({kind: fc.constant('cut' as const), isAlone: fc.boolean()}),
	),
});

const startEntry = (entries: number, restrictedUntil: number): Entry => {
	const share = SlackShare.create();
	const view = {isAlone: false};
	const budget = RetryBudget.create({
		fraction: rule.fraction,
		windowMs: rule.windowMs,
		minRetries: () => share.of(rule.slack, view.isAlone ? 1 : entries),
		restrictedUntil,
	});
	return {budget, view};
};

void t.test('entries that restart or see no other keep the bound on retries', t => {
	fc.assert(fc.property(fc.integer({min: 12, max: MAX_ENTRIES}), fc.array(step, {maxLength: 40}), (entries, steps) => {
		const fleet = Array.from({length: entries}, () => startEntry(entries, Number.NEGATIVE_INFINITY));
		const traffic = {requests: new Array<number>(), repeats: new Array<number>()};
		let now = 0;
		for (const {waitMs, from, count, change} of steps) {
			now += waitMs;
			for (let i = 0; i < Math.min(count, entries); i += 1) {
				const entry = fleet[(from + i) % entries]!;
				switch (change.kind) {
					case 'requests': {
						for (let request = 0; request < change.requests; request += 1) {
							entry.budget.recordRequest(now);
							traffic.requests.push(now);
						}

						break;
					}

					case 'retries': {
						for (let retry = 0; retry < change.retries && entry.budget.consumeRetry(now); retry += 1) {
							traffic.repeats.push(now);
						}

						break;
					}

					case 'restart': {
						fleet[(from + i) % entries] = startEntry(entries, now + rule.windowMs);
						break;
					}

					case 'cut': {
						entry.view.isAlone = change.isAlone;
						break;
					}
				}
			}
		}

		const excess = worstExcess(traffic, rule);
		invariant(excess <= 0, `${excess} repeats beyond the bound`);
	}), fuzzParameters({seed: SEED, runs: RUNS}));
	t.pass('all cases kept the bound');
	t.end();
});
