/**
 * Starts a stand-in engine process; prints `{"listening": PORT, "ports": [PORT...]}` when it
 * accepts requests. Several `--rank-id` options start a group of engines that advance in lock-step.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {EngineGroup} from './engine-group.js';
import {DEFAULT_ENGINE_OPTIONS} from './engine-options.js';
import {EngineServer} from './engine-server.js';
import {InputError} from '#core';

const {values} = parseArgs({
	options: {
		host: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
		model: {type: 'string', multiple: true},
		'step-ms': {type: 'string'},
		'max-running': {type: 'string'},
		'max-queued': {type: 'string'},
		'prefill-tokens': {type: 'string'},
		'cache-blocks': {type: 'string'},
		'hold-ms': {type: 'string'},
		seed: {type: 'string'},
		'rank-id': {type: 'string', multiple: true},
		'map-load-ms': {type: 'string'},
	},
});

function readNumber(name: 'port' | 'step-ms' | 'max-running' | 'max-queued' | 'prefill-tokens' | 'cache-blocks' | 'hold-ms' | 'seed' | 'map-load-ms', fallback: number): number {
	const text = values[name];
	const value = text === undefined ? fallback : Number(text);
	if (!Number.isFinite(value) || value < 0) {
		throw new InputError(`--${name}: read ${JSON.stringify(text)}, allowed: a number of at least 0`);
	}

	return value;
}

const rankIds = values['rank-id'] ?? [DEFAULT_ENGINE_OPTIONS.rankId];
const options = {
	host: values.host,
	models: values.model ?? DEFAULT_ENGINE_OPTIONS.models,
	stepMs: readNumber('step-ms', DEFAULT_ENGINE_OPTIONS.stepMs),
	maxRunning: readNumber('max-running', DEFAULT_ENGINE_OPTIONS.maxRunning),
	maxQueued: readNumber('max-queued', DEFAULT_ENGINE_OPTIONS.maxQueued),
	prefillTokensPerStep: readNumber('prefill-tokens', DEFAULT_ENGINE_OPTIONS.prefillTokensPerStep),
	cacheBlocks: readNumber('cache-blocks', DEFAULT_ENGINE_OPTIONS.cacheBlocks),
	holdMs: readNumber('hold-ms', DEFAULT_ENGINE_OPTIONS.holdMs),
	seed: readNumber('seed', DEFAULT_ENGINE_OPTIONS.seed),
	mapLoadMs: readNumber('map-load-ms', DEFAULT_ENGINE_OPTIONS.mapLoadMs),
};
const {servers, close} = await startEngines();
const ports = servers.map(server => server.port);
console.log(JSON.stringify({listening: ports[0], ports}));
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void close();
	});
}

type StartedEngines = {readonly servers: readonly EngineServer[]; readonly close: () => Promise<void>};

async function startEngines(): Promise<StartedEngines> {
	if (rankIds.length > 1) {
		const group = await EngineGroup.create({...options, members: rankIds});
		return {servers: group.servers, close: async () => group.close()};
	}

	const server = await EngineServer.create({...options, port: readNumber('port', 0), rankId: rankIds[0] ?? DEFAULT_ENGINE_OPTIONS.rankId});
	return {servers: [server], close: async () => server.close()};
}
