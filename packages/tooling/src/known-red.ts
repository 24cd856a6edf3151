import {readFileSync} from 'node:fs';

/**
 * Reads the test files named in KNOWN-RED.txt: the first word of each line that starts with `packages/` or `platform/`.
 *
 * @returns Paths of the compiled tests below `target/`.
 */
export function readKnownRed(file: string): readonly string[] {
	return readFileSync(file, 'utf8')
		.split('\n')
		.filter(line => /^(?:packages|platform)\//u.test(line))
		.map(line => line.split(/[\s,]/u)[0] ?? '')
		.map(name => `target/${name.replace(/\.ts$/u, '.js')}`);
}
