/** Callers whose large bodies an entry with more memory passes on to an endpoint; guards against an endpoint that relies on the bounds of its entries. */
import {bodies, testCrowds} from '../crowd-cases.js';

const whole = bodies.filter(({name}) => name === 'whole bodies');

await testCrowds([{port: 'callers of the entry', answerMs: 1000, scripts: whole}], {entry: 1024, endpoint: 250});
