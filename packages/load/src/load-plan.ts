/** Seeded plan of what to send and when; the same options give the same plan. */
import {createRandom, type Random} from '#standins-engine';

/** A workspace with the key that its calls carry. */
export type LoadWorkspace = {readonly name: string; readonly key: string; readonly weight: number};

/** Shape of the load. Shares are 0 to 1. */
export type PlanOptions = {
	/** Seed of the generator, an integer. */
	readonly seed: number;
	/** Requests per second, open loop with exponential gaps. */
	readonly rate: number;
	/** Requests to send; the plan ends at `count` or `durationMs`, whichever is first. */
	readonly count: number;
	readonly durationMs: number;
	readonly workspaces: readonly LoadWorkspace[];
	readonly models: readonly string[];
	/** Share of calls that are bookings; the others are chat completions. */
	readonly bookingShare: number;
	/** Share of chat completions that are streamed. */
	readonly streamShare: number;
	/** Characters of a prompt, and range of answer tokens. */
	readonly promptChars: number;
	readonly minTokens: number;
	readonly maxTokens: number;
	/** Number of shared prompt beginnings and the share of prompts that use one. */
	readonly prefixes: number;
	readonly prefixShare: number;
	/** Share of streams that are read at `slowBytesPerSecond`. */
	readonly slowShare: number;
	readonly slowBytesPerSecond: number;
	/** Share of streams whose caller hangs up after the first bytes. */
	readonly hangUpShare: number;
};

export const DEFAULT_PLAN: PlanOptions = {
	seed: 1,
	rate: 20,
	count: 200,
	durationMs: Infinity,
	workspaces: [{name: 'default', key: 'none', weight: 1}],
	models: ['drafting'],
	bookingShare: 0,
	streamShare: 0.8,
	promptChars: 800,
	minTokens: 16,
	maxTokens: 64,
	prefixes: 8,
	prefixShare: 0.5,
	slowShare: 0,
	slowBytesPerSecond: 2000,
	hangUpShare: 0,
};

/** How the caller reads the answer. */
export type Reading = {readonly kind: 'all'} | {readonly kind: 'slow'; readonly bytesPerSecond: number} | {readonly kind: 'hang-up'; readonly afterBytes: number};

type ItemFields = {
	/** Number of the request, starting at 0. */
	readonly index: number;
	/** Time of sending in milliseconds after the start. */
	readonly atMs: number;
	/** Unique in the plan; the request id or idempotency key that the caller offers. */
	readonly id: string;
	readonly workspace: LoadWorkspace;
	readonly body: Readonly<Record<string, unknown>>;
};

/** One call of the plan. */
export type PlanItem
	= | (ItemFields & {readonly kind: 'chat'; readonly stream: boolean; readonly reading: Reading})
		| (ItemFields & {readonly kind: 'booking'});

/** Share of a shared beginning in the prompt. */
const PREFIX_PART = 0.75;

const LETTERS = 'abcdefghijklmnopqrstuvwxyz ';

function randomText(random: Random, chars: number): string {
	return Array.from({length: chars}, () => LETTERS[random.int(0, LETTERS.length - 1)]).join('');
}

function pickWorkspace(random: Random, workspaces: readonly LoadWorkspace[]): LoadWorkspace {
	let left = random.next() * workspaces.reduce((sum, workspace) => sum + workspace.weight, 0);
	for (const workspace of workspaces) {
		left -= workspace.weight;
		if (left < 0) {
			return workspace;
		}
	}

	return workspaces.at(-1) ?? {name: 'default', key: 'none', weight: 1};
}

function pickReading(random: Random, options: PlanOptions): Reading {
	const draw = random.next();
	if (draw < options.slowShare) {
		return {kind: 'slow', bytesPerSecond: options.slowBytesPerSecond};
	}

	return draw < options.slowShare + options.hangUpShare ? {kind: 'hang-up', afterBytes: random.int(1, 2000)} : {kind: 'all'};
}

/** Yields the calls of a plan in order of time. */
export function * createPlan(options: PlanOptions): Generator<PlanItem> {
	const random = createRandom(options.seed);
	const prefixes = Array.from({length: options.prefixes}, () => randomText(random, Math.floor(options.promptChars * PREFIX_PART)));
	let atMs = 0;
	for (let index = 0; index < options.count; index++) {
		atMs += -Math.log(1 - random.next()) * 1000 / options.rate;
		if (atMs > options.durationMs) {
			return;
		}

		const fields = {
			index, atMs, id: `load-${options.seed}-${index}`, workspace: pickWorkspace(random, options.workspaces),
		};
		yield random.next() < options.bookingShare
			? {...fields, kind: 'booking', body: {household: random.int(1, 100_000), notice: randomText(random, 40)}}
			: {...fields, kind: 'chat', ...planChat(random, options, prefixes)};
	}
}

type ChatFields = {readonly stream: boolean; readonly reading: Reading; readonly body: Readonly<Record<string, unknown>>};

function planChat(random: Random, options: PlanOptions, prefixes: readonly string[]): ChatFields {
	const shared = random.next() < options.prefixShare ? prefixes[random.int(0, Math.max(0, prefixes.length - 1))] ?? '' : '';
	const stream = random.next() < options.streamShare;
	return {
		stream,
		reading: stream ? pickReading(random, options) : {kind: 'all'},
		body: {
			model: options.models[random.int(0, options.models.length - 1)],
			messages: [{role: 'user', content: shared + randomText(random, options.promptChars - shared.length)}],
			max_tokens: random.int(options.minTokens, options.maxTokens),
			stream,
		},
	};
}
