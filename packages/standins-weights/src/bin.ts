/** Starts a weight store process; prints `{"listening": PORT}` when it accepts requests. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {WeightsServer} from './weights-server.js';
import {InputError} from '#core';

const {values} = parseArgs({
	options: {
		host: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
		'per-second': {type: 'string', default: '50'},
		burst: {type: 'string', default: '10'},
		'expert-bytes': {type: 'string', default: '4096'},
	},
});

for (const name of ['port', 'per-second', 'burst', 'expert-bytes'] as const) {
	if (!(Number(values[name]) >= 0)) {
		throw new InputError(`--${name}: read ${JSON.stringify(values[name])}, allowed: a number of at least 0`);
	}
}

const server = await WeightsServer.create({
	host: values.host,
	port: Number(values.port),
	perSecond: Number(values['per-second']),
	burst: Number(values.burst),
	expertBytes: Number(values['expert-bytes']),
});
console.log(JSON.stringify({listening: server.port}));
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void server.close();
	});
}
