import {Buffer} from 'node:buffer';
import t from 'tap';
import fc from 'fast-check';
import xxhash from 'xxhash-wasm';
import {invariant} from '#core';
import {RequestCorrelation, type ResponseFrame} from '#coordination';
import {createFuzzCommandFactory, fuzzParameters} from '#tooling';

const SEED = 20_264;
const RUNS = 400;
const REQUESTS = 2;
const {h64ToString} = await xxhash();

/** Sends responses over links that delay, duplicate and reorder frames. Responses of different endpoints may differ. */
class World {
	readonly responses = Array.from({length: REQUESTS}, (_, request) => ({
		attempt: 0, variant: 0, delivered: '', complete: false, request,
	}));

	readonly frames: ResponseFrame[] = [];
	readonly requests: RequestCorrelation;

	constructor(requests: RequestCorrelation) {
		this.requests = requests;
	}

	text(request: number, variant: number): string {
		const common = `response to request ${request}, `;
		return variant === 2 ? common : `${common}text ${variant === 0 ? 'as before' : 'that is another'}`;
	}

	begin(request: number, variant: number, cut: number): void {
		const response = this.responses[request]!;
		// Only the endpoint that served the previous attempt can resume it.
		const resumable = variant === response.variant && this.requests.delivered(String(request))?.resumable !== false;
		const mode = resumable && cut % 2 === 0 ? 'resume' : 'restart';
		response.attempt += 1;
		response.variant = variant;
		const tag = {requestId: String(request), attempt: response.attempt, source: `link ${variant}`};
		this.requests.begin(tag.requestId, {attempt: tag.attempt, source: tag.source, mode});
		const text = this.text(request, variant);
		this.frames.push({...tag, kind: 'head'});
		for (let offset = mode === 'resume' ? response.delivered.length : 0; offset < text.length; offset += 1 + cut) {
			this.frames.push({
				...tag, kind: 'chunk', offset, bytes: Buffer.from(text.slice(offset, offset + 1 + cut)),
			});
		}

		this.frames.push({
			...tag, kind: 'end', totalBytes: text.length, hash: h64ToString(text),
		});
	}

	receive(frame: ResponseFrame | undefined): void {
		const result = frame === undefined ? undefined : this.requests.receive(frame);
		const response = this.responses[Number(frame?.requestId ?? 0)]!;
		if (result?.kind === 'bytes') {
			invariant(!response.complete, 'bytes were delivered after the response was complete');
			response.delivered += Buffer.from(result.bytes).toString();
		}

		response.complete ||= result?.kind === 'complete';
	}
}

/** Checks what a caller has received. */
class Oracle {
	completed = 0;

	check(world: World): void {
		for (const {request, delivered, complete, variant} of world.responses) {
			const texts = [0, 1, 2].map(index => world.text(request, index));
			invariant(texts.some(text => text.startsWith(delivered)), `request ${request} received ${JSON.stringify(delivered)}`);
			invariant(!complete || delivered === texts[variant], `request ${request} was completed with ${JSON.stringify(delivered)}`);
		}

		this.completed = world.responses.filter(response => response.complete).length;
	}
}

const command = createFuzzCommandFactory<Oracle, World>((oracle, world) => {
	oracle.check(world);
});
const request = fc.nat(REQUESTS - 1);
const commands = [
	fc.tuple(request, fc.nat(2), fc.nat(8)).map(([id, variant, cut]) => command(`begin ${id} ${variant} ${cut}`, world => {
		if (!world.responses[id]!.complete) {
			world.begin(id, variant, cut);
		}
	})),
	...Array.from({length: 3}, () => fc.nat(30).map(count => command(`receive ${count} in order`, world => {
		for (const frame of world.frames.splice(0, count)) {
			world.receive(frame);
		}
	}))),
	fc.nat(30).map(index => command(`receive ${index} out of order`, world => {
		world.receive(world.frames.splice(index, 1)[0]);
	})),
	fc.nat(30).map(index => command(`duplicate ${index}`, world => {
		world.receive(world.frames[index]);
	})),
	fc.nat(30).map(index => command(`receive ${index} on another link`, world => {
		const frame = world.frames[index];
		world.receive(frame && {...frame, source: 'another link'});
	})),
];

await t.test('a caller receives one complete response to its own request, or a part that is not reported as complete', async t => {
	let completed = 0;
	await fc.assert(fc.asyncProperty(fc.commands(commands, {maxCommands: 60, size: 'max'}), async steps => {
		const world = new World(await RequestCorrelation.create());
		const oracle = new Oracle();
		await fc.asyncModelRun(() => ({model: oracle, real: world}), steps);
		completed += oracle.completed;
	}), fuzzParameters({seed: SEED, runs: RUNS}));
	t.ok(completed > 0, 'responses are completed');
	t.comment(`${completed} responses completed`);
});
