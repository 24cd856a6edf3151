/** Starts a plain service process; prints `{"listening": PORT}` when it accepts calls. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {ServiceServer} from './service-server.js';

const {values} = parseArgs({
	options: {
		host: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
		collection: {type: 'string', default: 'bookings'},
	},
});
const server = await ServiceServer.create({host: values.host, port: Number(values.port), collection: values.collection});
console.log(JSON.stringify({listening: server.port}));
for (const signal of ['SIGTERM', 'SIGINT'] as const) {
	process.once(signal, () => {
		void server.close();
	});
}
