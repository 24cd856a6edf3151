/**
 * Starts the platform stand-in as a process; prints one line `{"listening": PORT}` when it accepts requests.
 *
 * Options: `--port N` (default 0), `--key TEXT`, `--instance-lag-ms N`, `--history-limit N`,
 * `--reads-per-second N`, `--writes-per-second N`.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {InputError} from '#core';
import {PlatformServer, type PlatformServerOptions} from '#standins-platform';

const {values} = parseArgs({
	options: {
		port: {type: 'string', default: '0'},
		key: {type: 'string'},
		'instance-lag-ms': {type: 'string'},
		'history-limit': {type: 'string'},
		'reads-per-second': {type: 'string'},
		'writes-per-second': {type: 'string'},
	},
});

const readRate = rateOf('reads-per-second');
const writeRate = rateOf('writes-per-second');
const instanceLagMs = numberOf('instance-lag-ms');
const historyLimit = numberOf('history-limit');
const options: PlatformServerOptions = {
	port: numberOf('port') ?? 0,
	...(values.key === undefined ? {} : {key: values.key}),
	...(instanceLagMs === undefined ? {} : {instanceLagMs}),
	...(historyLimit === undefined ? {} : {historyLimit}),
	...(readRate === undefined ? {} : {readRate}),
	...(writeRate === undefined ? {} : {writeRate}),
};
const server = await PlatformServer.create(options);
console.log(JSON.stringify({listening: server.port}));

for (const signal of ['SIGINT', 'SIGTERM']) {
	process.once(signal, () => {
		void server.close();
	});
}

function numberOf(name: 'history-limit' | 'instance-lag-ms' | 'port' | 'reads-per-second' | 'writes-per-second'): number | undefined {
	const text = values[name];
	if (text === undefined) {
		return undefined;
	}

	if (!/^\d+$/.test(text)) {
		throw new InputError(`--${name}: read ${JSON.stringify(text)}, allowed: a whole number`);
	}

	return Number(text);
}

function rateOf(name: 'reads-per-second' | 'writes-per-second'): {perSecond: number; burst: number} | undefined {
	const perSecond = numberOf(name);
	return perSecond === undefined ? undefined : {perSecond, burst: perSecond};
}
