import {readFileSync} from 'node:fs';

/**
 * Reads the test files named in KNOWN-RED.txt: the first word of each line that starts with `packages/`.
 *
 * @returns Compiled paths below `dist/`.
 */
export function readKnownRed(file: string): readonly string[] {
	return readFileSync(file, 'utf8')
		.split('\n')
		.filter(line => line.startsWith('packages/'))
		.map(line => line.split(/[\s,]/u)[0] ?? '')
		.map(name => name.replace(/^packages\//u, 'dist/').replace(/\.ts$/u, '.js'));
}
