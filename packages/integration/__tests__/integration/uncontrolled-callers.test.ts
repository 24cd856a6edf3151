/** Callers and peers that send many large bodies or messages at once; guards against an entry or an endpoint that leaves the memory of its machine, ends, or serves nobody afterwards. */
import {bodies, keylessBodies, testCrowds} from '../crowd-cases.js';
import {createMessageScripts} from '#harness';

const MAX_MESSAGE_BYTES = 1024 * 1024;

const messages = createMessageScripts(MAX_MESSAGE_BYTES);

await testCrowds([
	{
		port: 'callers of the entry', answerMs: 0, scripts: [...bodies.slice(1, 4), ...keylessBodies.filter(({script}) => script.kind === 'stopping')],
	},
	{
		port: 'peers of the entry', answerMs: 0, scripts: messages.filter(({name}) => name.endsWith('that stop before their end')),
	},
	{
		port: 'peers of the endpoint', answerMs: 0, scripts: messages,
	},
]);
