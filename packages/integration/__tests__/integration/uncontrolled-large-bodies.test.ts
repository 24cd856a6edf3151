/** Callers with a key that send large bodies of legal size again and again; guards against an entry or an endpoint that leaves the memory of its machine. */
import {bodies, testCrowds} from '../crowd-cases.js';

const whole = bodies.filter(({script}) => script.kind !== 'stopping');

await testCrowds([
	{port: 'callers of the entry', answerMs: 0, scripts: [bodies[0]!, ...whole]},
	{port: 'callers of the entry', answerMs: 1000, scripts: whole},
]);
