import {request, type RequestOptions} from 'node:http';

/** Wait for an answer, in ms: longer than the deadlines that tests send. */
const ANSWER_TIMEOUT_MS = 10_000;

/** Sends a request on a connection of its own. Returns the status of its answer, or how it failed. */
export async function requestStatus(options: RequestOptions, body = ''): Promise<string> {
	return new Promise(resolve => {
		const req = request({...options, agent: false, timeout: ANSWER_TIMEOUT_MS}, res => {
			res.resume();
			resolve(String(res.statusCode));
		});
		req.on('error', err => {
			resolve((err as NodeJS.ErrnoException).code ?? err.message);
		});
		req.once('timeout', () => {
			resolve('no answer');
			req.destroy();
		});
		req.end(body);
	});
}
