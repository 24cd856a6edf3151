/** Runners for tests and fuzzing. Development only. */
export {findTests} from './find-tests.js';
export {readKnownRed} from './known-red.js';
