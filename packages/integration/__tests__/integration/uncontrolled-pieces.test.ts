/** Callers with a key that send large bodies in small pieces and stop before their end; guards against an entry that leaves the memory of its machine. */
import {bodies, testCrowds} from '../crowd-cases.js';

await testCrowds([{port: 'callers of the entry', answerMs: 0, scripts: bodies.filter(({name}) => name === 'bodies in pieces that stop before their end')}]);
