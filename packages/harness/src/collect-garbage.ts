import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');

/** Runs a full garbage collection. */
export const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes that the process refers to, in the heap and in buffers outside of it. */
export function measureHeldBytes(): number {
	collectGarbage();
	// The buffers that one collection found are given back in the background, at the latest by the next one.
	collectGarbage();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}
