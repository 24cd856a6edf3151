/** Value readers for settings. A failure describes the allowed values. */
import {isIP} from 'node:net';
import {Buffer} from 'node:buffer';
import type {KeySource} from './model.js';
import {Secret} from './secret.js';
import {
	failed, ok, type Address, type Result,
} from '#core';
import {describeAllowedWords, isValidName, nameSyntax} from '#rules';

/** Problem with a value. */
export type ValueProblem = {
	/** Replaces the value in the finding, for example if the value must not be shown. */
	readonly read?: string;
	readonly allowed: string;
};

export type ValueReader<Value> = (text: string) => Result<Value, ValueProblem>;

/** Minimum key length in bytes: 128 bits, the minimum that resists brute-force guessing. */
export const minKeyBytes = 16;

const MAX_PORT = 65_535;
const MAX_PATH_CHARS = 4096;

export const readName: ValueReader<string> = text => isValidName(text) ? ok(text) : failed({allowed: nameSyntax});

export const readHash: ValueReader<string> = text =>
	// The value is hidden, since an operator may have entered the key itself instead of its hash.
	/^[\da-f]{64}$/iu.test(text)
		? ok(text.toLowerCase())
		: failed({read: `(hidden, ${text.length} characters)`, allowed: '64 hex digits, the SHA-256 of the key'});

export function readOneOf<Word extends string>(words: readonly Word[]): ValueReader<Word> {
	return text => {
		const word = words.find(candidate => candidate === text);
		return word === undefined ? failed({allowed: describeAllowedWords(text, words)}) : ok(word);
	};
}

/** Reads an integer between `min` and `max`, inclusive. */
export function readInteger(min: number, max: number): ValueReader<number> {
	return text => {
		const value = /^\d{1,15}$/u.test(text) ? Number(text) : Number.NaN;
		return value >= min && value <= max ? ok(value) : failed({allowed: `a whole number from ${min} to ${max}`});
	};
}

/** Reads a comma-separated list without duplicates; spaces around items are ignored. */
export function readList<Item>(readItem: ValueReader<Item>): ValueReader<readonly Item[]> {
	return text => {
		const items: Item[] = [];
		const seen = new Set<string>();
		for (const part of text.split(',').map(item => item.trim())) {
			const item = readItem(part);
			const serialized = JSON.stringify(item);
			if (item.kind === 'failed') {
				return failed({read: part, allowed: `a list between commas, each item ${item.failure.allowed}`});
			}

			if (seen.has(serialized)) {
				return failed({read: part, allowed: 'a list between commas with each item once'});
			}

			seen.add(serialized);
			items.push(item.value);
		}

		return ok(items);
	};
}

/** Reads an IP address and a port of at least `minPort`. */
export function readAddress(minPort: 0 | 1): ValueReader<Address> {
	return text => {
		const match = /^(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:[\]]+)):(?<port>\d{1,5})$/u.exec(text);
		const host = match?.groups?.v6 ?? match?.groups?.v4 ?? '';
		const version = match?.groups?.v6 === undefined ? 4 : 6;
		const port = Number(match?.groups?.port);
		return isIP(host) === version && port >= minPort && port <= MAX_PORT
			? ok({host, port})
			: failed({allowed: `an IP number and a port from ${minPort} to ${MAX_PORT}, such as 10.0.0.5:7400 or [fd00::5]:7400`});
	};
}

/** Reads an address at which peers connect; the wildcard address is rejected. */
export const readPeerAddress: ValueReader<Address> = text => {
	const address = readAddress(0)(text);
	return address.kind === 'ok' && ['0.0.0.0', '::'].includes(address.value.host)
		? failed({allowed: 'the IP number at which peers reach this machine, not the one for all interfaces'})
		: address;
};

/** Reads the origin of an HTTP server whose host is an IP address. */
export const readOrigin: ValueReader<string> = text => {
	const problem = failed({allowed: 'a URL such as http://10.0.0.2:7000 with an IP number and without a path'});
	const match = /^https?:\/\/(?:\[(?<v6>[^\]]+)\]|(?<v4>[^:[\]/]+))(?::(?<port>\d{1,5}))?\/?$/u.exec(text);
	const host = match?.groups?.v6 ?? match?.groups?.v4 ?? '';
	const port = Number(match?.groups?.port ?? 80);
	return isIP(host) !== 0 && port > 0 && port <= MAX_PORT ? ok(new URL(text).origin) : problem;
};

/** Reads a range of ranks, starting at 0, both ends inclusive. */
export const readRanks: ValueReader<{readonly first: number; readonly last: number}> = text => {
	const match = /^(?<first>\d{1,4})-(?<last>\d{1,4})$/u.exec(text);
	const first = Number(match?.groups?.first);
	const last = Number(match?.groups?.last);
	return first <= last ? ok({first, last}) : failed({allowed: 'two ranks such as 0-7, the first not above the last'});
};

export const readInlineKey: ValueReader<KeySource> = text => {
	const bytes = Buffer.byteLength(text);
	return bytes >= minKeyBytes
		? ok({kind: 'inline', key: Secret.create(text)})
		: failed({read: `(hidden, ${bytes} bytes)`, allowed: `a key of at least ${minKeyBytes} bytes`});
};

export const readKeyPath: ValueReader<KeySource> = text =>
	text !== '' && text.length <= MAX_PATH_CHARS ? ok({kind: 'file', path: text}) : failed({allowed: 'the path of a file that holds the key'});

/** Description of the names that `readModelName` accepts. */
const modelNameSyntax = `${nameSyntax}, then @VERSION or @VERSION+ADAPTER if the endpoint offers only these`;

/** Reads the name of a model that a replica serves, with an optional version and adapter. */
export const readModelName: ValueReader<string> = text => {
	const hasValidStructure = /^[^@+]+(?:@[^@+]+(?:\+[^@+]+)?)?$/u.test(text);
	return hasValidStructure && text.split(/[@+]/u).every(part => isValidName(part)) ? ok(text) : failed({allowed: modelNameSyntax});
};
