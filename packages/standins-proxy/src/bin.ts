/** Starts a proxy process; prints `{"listening": PORT, "control": PORT}` when it accepts connections. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {FaultProxy} from './fault-proxy.js';
import {InputError} from '#core';

const {values} = parseArgs({
	options: {
		host: {type: 'string', default: '127.0.0.1'},
		listen: {type: 'string', default: '0'},
		control: {type: 'string', default: '0'},
		target: {type: 'string'},
	},
});
if (values.target === undefined) {
	throw new InputError('--target HOST:PORT is required');
}

const proxy = await FaultProxy.create({
	host: values.host, listen: Number(values.listen), control: Number(values.control), target: values.target,
});
console.log(JSON.stringify({listening: proxy.port, control: proxy.controlPort}));
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void proxy.close();
	});
}
