import {readdirSync} from 'node:fs';
import path from 'node:path';

/** Lists compiled test files below `root`, sorted, as paths relative to the current directory. */
export function findTests(root: string): readonly string[] {
	return readdirSync(root, {recursive: true, encoding: 'utf8'})
		.filter(file => file.includes('__tests__') && file.endsWith('.test.js'))
		.map(file => path.join(root, file))
		.toSorted();
}

/** Whether a test measures the memory of a process, which other load would change. */
export function isMemoryTest(file: string): boolean {
	return /^(?:uncontrolled-|slow-readers|memory)/u.test(path.basename(file));
}
