/**
 * Part of the benchmark that measures how memory and processor time of one process grow with the number of items
 * that it stores or processes: a linear fit over three or more sizes, for the capacity page.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {fitLine, type Point} from './fit.js';
import type {BenchPart, BenchResult} from './part.js';
import {GrantLimiter, GrantAllocator} from '#limits';
import {
	Directory, formatMachines, TextHistory, type Machine,
} from '#membership';
import {
	answerChallenge, createChallenge, encodeHandshake, Session, type Message, type PeerIdentity, type WireLoad,
} from '#protocol';
import {
	chooseReplica, initHashing, RoutingTable, type InstanceInfo, type RouteRequest,
} from '#routing';
import {parseRules} from '#rules';

const BYTES_PER_KB = 1024;
const ROUNDS = 2000;

type Slope = {
	readonly name: string;
	readonly unit: string;
	/** The item to which the slope refers, for example one replica. */
	readonly per: string;
	readonly points: readonly Point[];
};

type HeapReference = {value: unknown};

/** Heap in use after garbage collection, in bytes. */
function measureHeapBytes(): number {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	collectGarbage();
	collectGarbage();
	return process.memoryUsage().heapUsed;
}

/** Heap used by a value, in KB. */
function measureHeapKb(create: () => unknown): number {
	const reference: HeapReference = {value: undefined};
	const before = measureHeapBytes();
	reference.value = create();
	const after = measureHeapBytes();
	const used = (after - before) / BYTES_PER_KB;
	// This use keeps the value reachable until after the second measurement.
	return reference.value === undefined ? 0 : used;
}

/** Mean duration of one call, in microseconds, after a warm-up of a tenth of the rounds. */
function measureMicroseconds(run: (round: number) => unknown, rounds = ROUNDS): number {
	for (let i = 0; i < rounds / 10; i++) {
		run(i);
	}

	const start = performance.now();
	for (let i = 0; i < rounds; i++) {
		run(i);
	}

	return (performance.now() - start) * 1000 / rounds;
}

function createInstance(i: number): InstanceInfo {
	return {
		id: `endpoint-${i}`, zone: `zone-${i % 13}`, region: `region-${i % 4}`, group: `group-${Math.floor(i / 8)}`, models: [`model-${i % 5}@1`], address: `10.0.${Math.floor(i / 256)}.${i % 256}:7400`, leaving: false,
	};
}

function createMachine(i: number): Machine {
	const {leaving: _, ...rest} = createInstance(i);
	return {
		...rest, models: [...rest.models], role: 'endpoint', kind: 'model', state: 'live', ranks: [0, 1, 2, 3, 4, 5, 6, 7],
	};
}

const load: WireLoad = [1200, 60, 2100, 45, 900, false];

function createTable(count: number): RoutingTable {
	const now = 1_000_000;
	let table = RoutingTable.create().withInstances(Array.from({length: count}, (_, i) => createInstance(i)), now);
	for (let i = 0; i < count; i++) {
		table = table.withReport(`endpoint-${i}`, {
			queuedTokens: i, running: i % 64, tokensPerSecond: 2100, stepMs: 45, cachedPrefixes: 900, leaving: false,
		}, now);
	}

	return table;
}

const request: RouteRequest = {
	model: 'model-1@1', zone: 'zone-1', region: 'region-1', inputTokens: 800, outputTokens: 375, prefixes: [{hash: '0123456789abcdef', tokens: 256}], prefixLookup: {hints: [], homeHitRate: 0.5}, excluded: new Set(),
};

function measureRouting(): readonly Slope[] {
	const counts = [400, 800, 1600];
	return [
		{
			name: 'routing table, heap', unit: 'KB', per: 'replica known', points: counts.map(x => ({x, y: measureHeapKb(() => createTable(x))})),
		},
		{
			name: 'take a load report', unit: 'µs', per: 'replica known',
			points: counts.map(x => {
				let table = createTable(x);
				return {
					x,
					y: measureMicroseconds(i => {
						table = table.withReport(`endpoint-${i % x}`, {
							queuedTokens: i, running: 3, tokensPerSecond: 2100, stepMs: 45, cachedPrefixes: 900, leaving: false,
						}, 1_000_000 + i);
					}),
				};
			}),
		},
		{
			name: 'choose a replica', unit: 'µs', per: 'replica known',
			points: counts.map(x => {
				const table = createTable(x);
				return {x, y: measureMicroseconds(i => chooseReplica(table, request, 1_000_100 + i, () => (i % 97) / 97))};
			}),
		},
	];
}

function createDirectory(count: number): Directory {
	return Directory.create().withList(1, Array.from({length: count}, (_, i) => createMachine(i)), 0);
}

function measureMembership(): readonly Slope[] {
	const counts = [485, 970, 1940];
	return [
		{
			name: 'directory, heap', unit: 'KB', per: 'machine', points: counts.map(x => ({x, y: measureHeapKb(() => createDirectory(x))})),
		},
		{
			name: 'directory as text, one version', unit: 'KB', per: 'machine',
			points: counts.map(x => ({x, y: formatMachines(Array.from({length: x}, (_, i) => createMachine(i))).length / BYTES_PER_KB})),
		},
		{
			name: 'one replaced machine as changed lines', unit: 'KB', per: 'machine',
			points: counts.map(x => {
				const machines = Array.from({length: x}, (_, i) => createMachine(i));
				const changed = machines.map((other, i) => (i === 7 ? {...other, address: '10.9.9.9:7400'} : other));
				const history = TextHistory.create().with({version: 1, text: formatMachines(machines)}).with({version: 2, text: formatMachines(changed)});
				return {x, y: JSON.stringify(history.updateFrom(1)).length / BYTES_PER_KB};
			}),
		},
	];
}

function formatRules(workspaces: number): string {
	return [
		'model drafting versions=1 # asked by bench: model',
		...Array.from({length: workspaces}, (_, i) => `workspace workspace-${i} key-sha256=${i.toString(16).padStart(64, '0')} priority=5 weight=2 limit-tokens-per-second=4000 # asked by operator ${i % 20}: limit of the contract`),
		'',
	].join('\n');
}

function measureWorkspaces(): readonly Slope[] {
	const counts = [250, 500, 970];
	const createLimits = (count: number) => new Map(Array.from({length: count}, (_, i) => [`workspace-${i}`, {tokensPerSecond: 4000, weight: 2, priority: 5}] as const));
	return [
		{
			name: 'rules, heap with text', unit: 'KB', per: 'workspace',
			points: counts.map(x => ({
				x,
				y: measureHeapKb(() => {
					const text = formatRules(x);
					return [text, parseRules(text, 'bench')];
				}),
			})),
		},
		{
			name: 'parse the rules', unit: 'µs', per: 'workspace',
			points: counts.map(x => {
				const text = formatRules(x);
				return {x, y: measureMicroseconds(() => parseRules(text, 'bench'), 20)};
			}),
		},
		{
			name: 'answer all demands of one entry', unit: 'µs', per: 'workspace in use',
			points: [9, 18, 27].map(x => {
				const rules = createLimits(970);
				const limiter = GrantLimiter.create('entry-1', 1);
				const allocator = GrantAllocator.create();
				limiter.setRules(rules);
				allocator.setRules(rules);
				allocator.setEntries(new Set(['entry-1']), 0);
				return {
					x,
					y: measureMicroseconds(round => {
						const now = 10_000 + (round * 1000);
						for (let i = 0; i < x; i++) {
							limiter.spend(`workspace-${i}`, 100, now);
						}

						for (const demand of limiter.demands(now)) {
							const grant = allocator.onDemand(demand, now);
							if (grant !== undefined) {
								limiter.onGrant(grant, now);
							}
						}
					}, 500),
				};
			}),
		},
	];
}

function createSessionPair(): {readonly send: Session; readonly receive: Session} {
	const key = 'shared-key-of-the-bench';
	const identity: PeerIdentity = {
		id: 'endpoint-1', role: 'endpoint', region: 'r', zone: 'z', address: '10.0.0.1:7400', incarnation: 'i',
	};
	const challenge = createChallenge();
	const {hello} = answerChallenge(encodeHandshake(challenge), key, identity);
	return {send: Session.create(key, challenge, hello, 'dialled'), receive: Session.create(key, challenge, hello, 'accepted')};
}

function measureMessages(): readonly Slope[] {
	const report: Message = {
		kind: 'report', load, rulesVersion: 300, mapVersion: 12,
	};
	const chunk = (i: number): Message => ({
		kind: 'chunk', requestId: `0f8fad5b-d9cb-469f-a165-70867728${1000 + (i % 9000)}`, attempt: 1, offset: i * 200, data: new Uint8Array(200),
	});
	const batches = [1, 4, 16, 64];
	const measureBatches = (create: (i: number) => Message) => batches.map(x => {
		const {send, receive} = createSessionPair();
		return {
			x,
			y: measureMicroseconds(() => receive.decode(send.encode(Array.from({length: x}, (_, i) => create(i))))),
		};
	});
	return [
		{
			name: 'encode, authenticate, decode and check reports', unit: 'µs', per: 'report in one WebSocket message', points: measureBatches(() => report),
		},
		{
			name: 'the same for stream chunks of 200 bytes', unit: 'µs', per: 'chunk in one WebSocket message', points: measureBatches(chunk),
		},
		{
			name: 'size of reports', unit: 'bytes', per: 'report in one WebSocket message',
			points: batches.map(x => ({x, y: createSessionPair().send.encode(Array.from({length: x}, () => report)).length})),
		},
	];
}

function buildResult(slopes: readonly Slope[]): BenchResult {
	return {
		title: 'Slopes of one process',
		notes: ['Least-squares lines through the measured points. Heap is read after garbage collection; times are averages of one thread.'],
		tables: [{
			columns: ['what', 'points (count: value)', 'slope', 'per', 'intercept'],
			rows: slopes.map(({name, unit, per, points}) => {
				const {slope, intercept} = fitLine(points);
				return [name, points.map(({x, y}) => `${x}: ${y.toPrecision(3)} ${unit}`).join(', '), `${slope.toPrecision(3)} ${unit}`, per, `${intercept.toPrecision(3)} ${unit}`];
			}),
		}],
		charts: {},
		raw: slopes.map(slope => ({...slope, fit: fitLine(slope.points)})),
	};
}

export const slopesPart: BenchPart = {
	name: 'slopes',
	description: 'memory and processor time per replica, machine, workspace and message',
	async run() {
		await initHashing();
		return buildResult([...measureRouting(), ...measureMembership(), ...measureWorkspaces(), ...measureMessages()]);
	},
};
