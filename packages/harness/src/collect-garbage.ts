import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');

/** Runs a full garbage collection. */
export const collectGarbage = runInNewContext('gc') as () => void;
