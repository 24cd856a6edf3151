import {Buffer} from 'node:buffer';
import type {KeySource, Settings} from './model.js';
import {Secret} from './secret.js';
import {minKeyBytes} from './values.js';
import {
	failed, ok, type Finding, type Result,
} from '#core';

/** The keys that a process needs. */
export type Keys = {
	readonly platformKey: Secret;
	readonly sharedKey: Secret;
};

/**
 * Reads the keys that the settings name.
 *
 * @param settings - Settings with keys or paths of key files.
 * @param readFile - Reads a file as text and throws when it cannot.
 * @returns The keys, or a finding for each file that cannot be read or holds a short key.
 */
export function resolveKeys(settings: Settings, readFile: (path: string) => string): Result<Keys, readonly Finding[]> {
	const platformKey = resolveKey(settings.platform.key, 'platform.key-file', readFile);
	const sharedKey = resolveKey(settings.peers.sharedKey, 'peers.shared-key-file', readFile);
	return platformKey.kind === 'ok' && sharedKey.kind === 'ok'
		? ok({platformKey: platformKey.value, sharedKey: sharedKey.value})
		: failed([platformKey, sharedKey].flatMap(result => result.kind === 'failed' ? [result.failure] : []));
}

/** Reads one key. Space and line ends around the content of a key file do not belong to the key. */
export function resolveKey(source: KeySource, name: string, readFile: (path: string) => string): Result<Secret, Finding> {
	if (source.kind === 'inline') {
		return ok(source.key);
	}

	const place = {
		file: source.path, line: 1, column: 1, key: name, allowed: `a readable file with a key of at least ${minKeyBytes} bytes`,
	};
	try {
		const key = readFile(source.path).trim();
		const bytes = Buffer.byteLength(key);
		return bytes >= minKeyBytes ? ok(Secret.create(key)) : failed({...place, read: `(hidden, ${bytes} bytes)`});
	} catch (error) {
		return failed({...place, read: error instanceof Error ? error.message : String(error)});
	}
}
