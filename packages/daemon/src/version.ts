import {readFileSync} from 'node:fs';

/** Version of this package, from its package.json. */
export function readVersion(): string {
	const text = readFileSync(new URL('../../../../package.json', import.meta.url), 'utf8');
	return (JSON.parse(text) as {readonly version: string}).version;
}
