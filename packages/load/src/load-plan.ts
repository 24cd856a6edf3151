/** Seeded plan of the requests to send and their times; the same options give the same plan. */
import {createRandom, type Random} from '#standins-engine';

/** A workspace, the key that its requests carry and its weight when workspaces are drawn at random. */
export type LoadWorkspace = {readonly name: string; readonly key: string; readonly weight: number};

/** Options of a plan. Shares are 0 to 1. */
export type PlanOptions = {
	/** Seed of the random number generator, an integer. */
	readonly seed: number;
	/** Requests per second, open loop with exponentially distributed intervals. */
	readonly rate: number;
	/** Requests to send; the plan ends at `count` or `durationMs`, whichever comes first. */
	readonly count: number;
	readonly durationMs: number;
	readonly workspaces: readonly LoadWorkspace[];
	readonly models: readonly string[];
	/** Share of requests that are bookings; the others are chat completions. */
	readonly bookingShare: number;
	/** Share of chat completions that are streamed. */
	readonly streamShare: number;
	/** Characters of a prompt, and range of `max_tokens`. */
	readonly promptChars: number;
	readonly minTokens: number;
	readonly maxTokens: number;
	/** Number of shared prompt prefixes and the share of prompts that start with one. */
	readonly prefixes: number;
	readonly prefixShare: number;
	/** Share of streams that are read at `slowBytesPerSecond`. */
	readonly slowShare: number;
	readonly slowBytesPerSecond: number;
	/** Share of streams whose caller closes the connection after the first bytes. */
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

/** How the caller reads the response. `hang-up` closes the connection after `afterBytes` bytes. */
export type ReadMode = {readonly kind: 'all'} | {readonly kind: 'slow'; readonly bytesPerSecond: number} | {readonly kind: 'hang-up'; readonly afterBytes: number};

type CommonFields = {
	/** Number of the request, starting at 0. */
	readonly index: number;
	/** Planned time of sending in milliseconds after the start. */
	readonly sendAtMs: number;
	/** Unique in the plan; sent as request id of a chat completion or as idempotency key of a booking. */
	readonly id: string;
	readonly workspace: LoadWorkspace;
	readonly body: Readonly<Record<string, unknown>>;
};

/** One request of the plan. */
export type PlannedRequest
	= | (CommonFields & {readonly kind: 'chat'; readonly stream: boolean; readonly readMode: ReadMode})
		| (CommonFields & {readonly kind: 'booking'});

/** Length of a shared prefix as a fraction of the prompt. */
const PREFIX_FRACTION = 0.75;

const ALPHABET = 'abcdefghijklmnopqrstuvwxyz ';

function randomText(random: Random, chars: number): string {
	return Array.from({length: chars}, () => ALPHABET[random.int(0, ALPHABET.length - 1)]).join('');
}

function pickWorkspace(random: Random, workspaces: readonly LoadWorkspace[]): LoadWorkspace {
	let remainingWeight = random.next() * workspaces.reduce((sum, workspace) => sum + workspace.weight, 0);
	for (const workspace of workspaces) {
		remainingWeight -= workspace.weight;
		if (remainingWeight < 0) {
			return workspace;
		}
	}

	return workspaces.at(-1) ?? {name: 'default', key: 'none', weight: 1};
}

function pickReadMode(random: Random, options: PlanOptions): ReadMode {
	const sample = random.next();
	if (sample < options.slowShare) {
		return {kind: 'slow', bytesPerSecond: options.slowBytesPerSecond};
	}

	return sample < options.slowShare + options.hangUpShare ? {kind: 'hang-up', afterBytes: random.int(1, 2000)} : {kind: 'all'};
}

/** Yields the requests of a plan in order of sending. */
export function * createPlan(options: PlanOptions): Generator<PlannedRequest> {
	const random = createRandom(options.seed);
	const prefixes = Array.from({length: options.prefixes}, () => randomText(random, Math.floor(options.promptChars * PREFIX_FRACTION)));
	let sendAtMs = 0;
	for (let index = 0; index < options.count; index++) {
		sendAtMs += -Math.log(1 - random.next()) * 1000 / options.rate;
		if (sendAtMs > options.durationMs) {
			return;
		}

		const fields = {
			index, sendAtMs, id: `load-${options.seed}-${index}`, workspace: pickWorkspace(random, options.workspaces),
		};
		yield random.next() < options.bookingShare
			? {...fields, kind: 'booking', body: {household: random.int(1, 100_000), notice: randomText(random, 40)}}
			: {...fields, kind: 'chat', ...createChatRequest(random, options, prefixes)};
	}
}

type ChatFields = {readonly stream: boolean; readonly readMode: ReadMode; readonly body: Readonly<Record<string, unknown>>};

function createChatRequest(random: Random, options: PlanOptions, prefixes: readonly string[]): ChatFields {
	const prefix = random.next() < options.prefixShare ? prefixes[random.int(0, Math.max(0, prefixes.length - 1))] ?? '' : '';
	const stream = random.next() < options.streamShare;
	return {
		stream,
		readMode: stream ? pickReadMode(random, options) : {kind: 'all'},
		body: {
			model: options.models[random.int(0, options.models.length - 1)],
			messages: [{role: 'user', content: prefix + randomText(random, options.promptChars - prefix.length)}],
			max_tokens: random.int(options.minTokens, options.maxTokens),
			stream,
		},
	};
}
