import {inspect} from 'node:util';
import t from 'tap';
import {brokenSettings, endpointLines, entryLines} from './broken-settings.js';
import {type Finding} from '#core';
import {
	formatSettings, readSettings, resolveKeys, type Settings,
} from '#settings';

const formatPlace = (finding: Finding) =>
	`${finding.line}:${finding.column} ${finding.key === undefined ? '' : `${finding.key} `}${JSON.stringify(finding.read)}`;

function readLines(lines: readonly string[]): Settings {
	const result = readSettings(lines.join('\r\n'), 'a.ini');
	if (result.kind === 'failed') {
		throw new Error(JSON.stringify(result.failure));
	}

	return result.value;
}

// Guards against accepting an invalid file, findings that are missing or have the wrong position, and keys in findings.
await t.test('invalid files are rejected with all findings', t => {
	for (const {name, text, findings} of brokenSettings) {
		const result = readSettings(text, 'a.ini');
		const found = result.kind === 'failed' ? result.failure : [];
		t.same(found.map(finding => formatPlace(finding)), findings.map(([expected]) => expected), name);
		for (const [i, [, allowed]] of findings.entries()) {
			t.match(found[i]?.allowed, allowed, name);
		}

		t.notMatch(JSON.stringify(found), /hunter2|0123456789/u, name);
	}

	t.end();
});

await t.test('settings of an entry', t => {
	const settings = readLines(entryLines);
	t.match(settings, {
		role: 'entry',
		id: 'entry-1',
		address: {host: '10.0.0.5', port: 7400},
		logLevel: 'info',
		listen: {host: '0.0.0.0', port: 8080},
		maxBodyBytes: 786_432,
		subsetSize: 48,
		platform: {url: 'http://10.0.0.2:7000'},
		peers: {sharedKey: {kind: 'file', path: '/etc/mimosamount/peers.key'}, seeds: [{host: '10.0.0.6', port: 7400}, {host: 'fd00::7', port: 7400}]},
	});
	t.end();
});

await t.test('settings of endpoints for a model and for a service', t => {
	t.match(readLines(endpointLines), {
		role: 'endpoint',
		backendUrl: 'http://127.0.0.1:9000',
		backend: {
			kind: 'model', group: 'drafting-1', groupSize: 64, ranks: {first: 8, last: 15}, models: ['drafting', 'mimosa-serve'], rebalanceSeconds: 60,
		},
	});
	const service = [...endpointLines.slice(0, 7), 'kind = service', 'service = ledger ; the booking service', endpointLines[8] ?? '', ...endpointLines.slice(13)];
	t.match(readLines(service), {backend: {kind: 'service', service: 'ledger'}});
	t.end();
});

// Guards against keys in logs, errors and printed settings.
await t.test('no output format shows a key', t => {
	const settings = readLines(entryLines.map(line => line.startsWith('key =') ? 'key = "0123456789abcdef;#"' : line));
	const printed = formatSettings(settings);
	for (const text of [printed, JSON.stringify(settings), inspect(settings, {depth: 9}), `${settings.platform.key.kind === 'inline' ? settings.platform.key.key.toString() : ''}`]) {
		t.notMatch(text, /0123456789/u);
	}

	t.match(printed, 'key = (hidden)');
	t.equal(readSettings(printed, 'a.ini').kind, 'failed', 'the placeholder of a hidden key is not accepted as a key');
	t.end();
});

await t.test('formatted settings without inline keys are read back unchanged', t => {
	const lines = [...entryLines, ...endpointLines].map(line => line.replace(/^key = .*/u, 'key-file = /etc/k'));
	for (const settings of [readLines(lines.slice(0, entryLines.length)), readLines(lines.slice(entryLines.length))]) {
		t.same(readLines(formatSettings(settings).split('\n')), settings);
	}

	t.end();
});

await t.test('key files are read and validated', t => {
	const settings = readLines(entryLines);
	const good = resolveKeys(settings, () => 'fedcba9876543210\n');
	t.equal(good.kind === 'ok' && good.value.sharedKey.reveal(), 'fedcba9876543210');
	t.equal(good.kind === 'ok' && good.value.platformKey.reveal(), '0123456789abcdef');
	t.match(resolveKeys(settings, () => 'hunter2\n'), {failure: [{key: 'peers.shared-key-file', read: '(hidden, 7 bytes)'}]});
	t.match(resolveKeys(settings, () => {
		throw new Error('ENOENT');
	}), {failure: [{file: '/etc/mimosamount/peers.key', read: 'ENOENT'}]});
	t.end();
});
