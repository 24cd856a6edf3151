import {Buffer} from 'node:buffer';
import type {KeySource, Settings} from './model.js';
import {Secret} from './secret.js';
import {minKeyBytes} from './values.js';
import {
	failed, ok, type Finding, type Result,
} from '#core';

/** Keys of a process. */
export type Keys = {
	readonly platformKey: Secret;
	readonly sharedKey: Secret;
};

/**
 * Resolves the keys of the settings.
 *
 * @param settings - Settings with inline keys or paths of key files.
 * @param readFile - Reads a file as text; throws if it cannot be read.
 * @returns The keys, or a finding for each file that cannot be read or contains a key that is too short.
 */
export function resolveKeys(settings: Settings, readFile: (path: string) => string): Result<Keys, readonly Finding[]> {
	const platformKey = resolveKey(settings.platform.key, 'platform.key-file', readFile);
	const sharedKey = resolveKey(settings.peers.sharedKey, 'peers.shared-key-file', readFile);
	return platformKey.kind === 'ok' && sharedKey.kind === 'ok'
		? ok({platformKey: platformKey.value, sharedKey: sharedKey.value})
		: failed([platformKey, sharedKey].flatMap(result => result.kind === 'failed' ? [result.failure] : []));
}

/** Resolves one key. Leading and trailing whitespace in a key file is not part of the key. */
export function resolveKey(source: KeySource, name: string, readFile: (path: string) => string): Result<Secret, Finding> {
	if (source.kind === 'inline') {
		return ok(source.key);
	}

	const location = {
		file: source.path, line: 1, column: 1, key: name, allowed: `a readable file with a key of at least ${minKeyBytes} bytes`,
	};
	try {
		const key = readFile(source.path).trim();
		const bytes = Buffer.byteLength(key);
		return bytes >= minKeyBytes ? ok(Secret.create(key)) : failed({...location, read: `(hidden, ${bytes} bytes)`});
	} catch (error) {
		return failed({...location, read: error instanceof Error ? error.message : String(error)});
	}
}
