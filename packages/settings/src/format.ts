import {stringify} from 'ini';
import type {Backend, KeySource, Settings} from './model.js';
import type {Address} from '#core';

/** Formats settings as INI text with all values including defaults. Inline keys are shown as `(hidden)`. */
export function formatSettings(settings: Settings): string {
	return stringify({
		daemon: {
			role: settings.role,
			id: settings.id,
			region: settings.region,
			zone: settings.zone,
			address: formatAddress(settings.address),
			'log-level': settings.logLevel,
			'memory-mb': settings.memoryMb,
			'max-open-files': settings.maxOpenFiles,
		},
		...formatRole(settings),
		platform: {url: settings.platform.url, ...formatKey('key', settings.platform.key)},
		peers: {
			...formatKey('shared-key', settings.peers.sharedKey),
			seeds: settings.peers.seeds.map(seed => formatAddress(seed)).join(', '),
		},
	}, {whitespace: true, platform: 'linux'});
}

/** Formats an address as `10.0.0.5:7400` or `[fd00::5]:7400`. */
export function formatAddress({host, port}: Address): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

function formatRole(settings: Settings): Readonly<Record<string, unknown>> {
	switch (settings.role) {
		case 'entry': {
			return {
				entry: {
					listen: formatAddress(settings.listen),
					'operator-key-sha256': settings.operatorKeyHash,
					'max-body-bytes': settings.maxBodyBytes,
					'subset-size': settings.subsetSize,
				},
			};
		}

		case 'endpoint': {
			return {
				endpoint: {kind: settings.backend.kind, 'backend-url': settings.backendUrl, ...formatBackend(settings.backend)},
			};
		}
	}
}

function formatBackend(backend: Backend): Readonly<Record<string, unknown>> {
	switch (backend.kind) {
		case 'model': {
			return {
				group: backend.group,
				'group-size': backend.groupSize,
				ranks: `${backend.ranks.first}-${backend.ranks.last}`,
				models: backend.models.join(', '),
				'rebalance-seconds': backend.rebalanceSeconds,
			};
		}

		case 'service': {
			return {service: backend.service};
		}
	}
}

function formatKey(name: string, source: KeySource): Readonly<Record<string, string>> {
	switch (source.kind) {
		case 'inline': {
			return {[name]: source.key.toString()};
		}

		case 'file': {
			return {[`${name}-file`]: source.path};
		}
	}
}
