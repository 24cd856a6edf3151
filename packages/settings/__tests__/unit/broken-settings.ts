/** Invalid settings files, each with all expected findings as `line:column [key] "read"` and a substring of `allowed`. */

export const entryLines: readonly string[] = [
	'[daemon]',
	'role = entry',
	'id = entry-1',
	'region = lk-west',
	'zone = colombo-a',
	'address = 10.0.0.5:7400',
	'[entry]',
	'listen = 0.0.0.0:8080',
	`operator-key-sha256 = ${'ab'.repeat(32)}`,
	'[platform]',
	'url = http://10.0.0.2:7000',
	'key = 0123456789abcdef',
	'[peers]',
	'shared-key-file = /etc/mimosamount/peers.key',
	'seeds = 10.0.0.6:7400, [fd00::7]:7400',
];

export const endpointLines: readonly string[] = [
	'[daemon]',
	'role = endpoint',
	...entryLines.slice(2, 6),
	'[endpoint]',
	'kind = model',
	'backend-url = http://127.0.0.1:9000',
	'group = drafting-1',
	'group-size = 64',
	'ranks = 8-15',
	'models = drafting, mimosa-serve',
	...entryLines.slice(9),
];

export type BrokenSettings = {
	readonly name: string;
	readonly text: string;
	/** Position with the text that was read, then a substring of `allowed`. */
	readonly findings: ReadonlyArray<readonly [string, string]>;
};

/** Joins the lines of a valid file and replaces some of them by line number. */
function replaceLines(lines: readonly string[], changes: Readonly<Record<number, string>>): string {
	return lines.map((line, i) => changes[i + 1] ?? line).join('\n');
}

type Changes = Readonly<Record<number, string>>;
type Findings = BrokenSettings['findings'];

const entryCases: ReadonlyArray<readonly [string, Changes, ...Findings]> = [
	['no role', {2: ''}, ['1:1 daemon.role ""', 'role = ...']],
	['unknown role', {2: 'role = entri'}, ['2:8 daemon.role "entri"', 'did you mean entry?']],
	['role that ini turns into a boolean', {2: 'role = true'}, ['2:8 daemon.role "true"', 'one of entry, endpoint']],
	['bad and empty names', {3: 'id = a b', 4: 'region ='}, ['3:6 daemon.id "a b"', '1 to 63'], ['4:9 daemon.region ""', '1 to 63']],
	['misspelt key', {5: 'zoen = colombo-a'}, ['1:1 daemon.zone ""', 'zone = ...'], ['5:1 "zoen"', 'did you mean zone?']],
	['key of another section', {5: 'zone = z\nlisten = 127.0.0.1:1'}, ['6:1 "listen"', 'in [daemon] a key']],
	['duplicate key', {4: 'region = a\n  region = b'}, ['5:3 daemon.region "region"', 'the first is on line 4']],
	['array key', {15: 'seeds[] = 10.0.0.6:7400'}, ['15:1 "seeds[]"', 'did you mean seeds?']],
	['duplicate section', {13: '[daemon]\nid = x\n[peers]'}, ['13:1 "[daemon]"', 'the first is on line 1']],
	['unknown section', {7: '[metrics]\nport = 1\n[entry]'}, ['7:1 "[metrics]"', 'one of daemon, entry']],
	['section with a subsection', {7: '[daemon.x]\n[entry]'}, ['7:1 "[daemon.x]"', 'one of daemon, entry']],
	['header with a comment, which ini takes for a key', {7: '[entry] ; callers\n[entry]'}, ['7:1 "[entry] ; callers"', 'nothing after it']],
	['indented header, which ini takes for a key', {7: ' [entry]\n[entry]'}, ['7:2 "[entry]"', 'start of the line']],
	['prototype as a section and key', {7: '[__proto__]\nid = x\n[entry]\n__proto__ = x'}, ['7:1 "[__proto__]"', 'a section'], ['10:1 "__proto__"', 'a key that is']],
	['line before the first section', {1: 'id = x\n[daemon]'}, ['1:1 "(a line before any section)"', '[daemon], [entry]']],
	['line without a sign', {8: 'listen'}, ['7:1 entry.listen ""', 'listen = ...'], [String.raw`8:1 "(a line without \"=\")"`, 'key = value']],
	['control character', {9: `operator-key-sha256 = ${'ab'.repeat(32)}\nsubset-size = 1\u0007`}, ['10:16 "U+0007"', 'printable']],
	['single quotes, which ini reads as JSON', {12: 'key = \'1234567890123456e9\''}, ['12:7 platform.key "(a value in single quotes)"', 'double quotes']],
	['comment after a quoted value', {12: 'key = "0123456789abcdef" ; x'}, ['12:7 platform.key "(a value with a broken quotation)"', 'nothing after it']],
	['key cut at a comment sign', {12: 'key = 0123456789abcdef#0123'}, [String.raw`12:7 platform.key "(a value with \";\" or \"#\" in it)"`, 'double quotes']],
	['short key', {12: 'key = hunter2'}, ['12:7 platform.key "(hidden, 7 bytes)"', 'at least 16 bytes']],
	['key that a comment leaves empty', {12: 'key = #0123456789abcdef'}, ['12:7 platform.key "(hidden, 0 bytes)"', 'at least 16 bytes']],
	['two sources of a key', {14: 'shared-key-file = a\nshared-key = 0123456789abcdef'}, ['14:1 peers.shared-key-file "shared-key-file"', 'either shared-key or shared-key-file']],
	['no key', {14: ''}, ['13:1 peers.shared-key ""', 'shared-key = ... or shared-key-file = ...']],
	['empty key file', {14: 'shared-key-file ='}, ['14:18 peers.shared-key-file ""', 'path of a file']],
	[
		'host names',
		{6: 'address = host:7400', 11: 'url = http://platform:7000'},
		['6:11 daemon.address "host:7400"', 'an IP number'],
		['11:7 platform.url "http://platform:7000"', 'IP number'],
	],
	['all interfaces as the address of peers', {6: 'address = [::]:7400'}, ['6:11 daemon.address "[::]:7400"', 'at which peers reach']],
	[
		'bad ports and addresses',
		{6: 'address = 10.0.0.5', 8: 'listen = 10.0.0.5:65536', 15: 'seeds = 10.0.0.6:0'},
		['6:11 daemon.address "10.0.0.5"', 'a port'],
		['8:10 entry.listen "10.0.0.5:65536"', '65535'],
		['15:9 peers.seeds "10.0.0.6:0"', 'a port from 1'],
	],
	['seed twice and empty seed', {15: 'seeds = 10.0.0.6:1, 10.0.0.6:1'}, ['15:9 peers.seeds "10.0.0.6:1"', 'each item once']],
	['URL with a path or of another kind', {11: 'url = http://10.0.0.2:7000/apis'}, ['11:7 platform.url "http://10.0.0.2:7000/apis"', 'without a path']],
	[
		'numbers out of range',
		{9: `operator-key-sha256 = ${'ab'.repeat(32)}\nmax-body-bytes = 4MB\nsubset-size = 0`},
		['10:18 entry.max-body-bytes "4MB"', 'a whole number'],
		['11:15 entry.subset-size "0"', 'from 1 to 2000'],
	],
	['key in place of its hash is not shown', {9: 'operator-key-sha256 = hunter2'}, ['9:23 entry.operator-key-sha256 "(hidden, 7 characters)"', '64 hex digits']],
	['unknown log level', {3: 'id = e\nlog-level = warning'}, ['4:13 daemon.log-level "warning"', 'did you mean warn?']],
	['settings of the other role', {13: '[endpoint]\nkind = service\n[peers]'}, ['14:1 endpoint.kind "kind"', 'no key of [endpoint]']],
];

const endpointCases: ReadonlyArray<readonly [string, Changes, ...Findings]> = [
	['no kind', {8: ''}, ['7:1 endpoint.kind ""', 'kind = ...']],
	[
		'model keys of a service',
		{8: 'kind = service', 10: '', 11: ''},
		['7:1 endpoint.service ""', 'service = ...'],
		['12:1 endpoint.ranks "ranks"', 'kind = model'],
		['13:1 endpoint.models "models"', 'kind = model'],
	],
	['service of a model', {8: 'kind = model\nservice = ledger'}, ['9:1 endpoint.service "service"', 'kind = service']],
	['ranks backwards', {12: 'ranks = 15-8'}, ['12:9 endpoint.ranks "15-8"', '0-7']],
	['ranks outside the group', {12: 'ranks = 60-64'}, ['12:9 endpoint.ranks "60-64"', '0 to 63']],
	['bad model and group size', {11: 'group-size = 0', 13: 'models = a,,b'}, ['11:14 endpoint.group-size "0"', '1 to 4096'], ['13:10 endpoint.models ""', 'each item a name']],
];

export const brokenSettings: readonly BrokenSettings[] = [
	...entryCases.map(([name, changes, ...findings]) => ({name, text: replaceLines(entryLines, changes), findings})),
	...endpointCases.map(([name, changes, ...findings]) => ({name, text: replaceLines(endpointLines, changes), findings})),
	{
		name: 'empty file',
		text: '',
		findings: [
			...['role', 'id', 'region', 'zone', 'address'].map(key => [`1:1 daemon.${key} ""`, 'in a section [daemon]'] as const),
			...['url', 'key'].map(key => [`1:1 platform.${key} ""`, 'in a section [platform]'] as const),
			['1:1 peers.shared-key ""', 'in a section [peers]'],
		],
	},
	{name: 'too large a file', text: '#'.repeat(65_537), findings: [['1:1 "65537 bytes"', '65536']]},
];
