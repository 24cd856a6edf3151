/** Helpers and runners for tests and fuzz tests. Development only. */
export {createFuzzCommand, createFuzzCommandFactory, type FuzzStep} from './fuzz-command.js';
export {fuzzParameters, type FuzzParameters} from './fuzz-parameters.js';
export {findTests, isMemoryTest} from './find-tests.js';
export {readKnownRed} from './known-red.js';
