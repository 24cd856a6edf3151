import t from 'tap';
import {brokenRules} from './broken-rules.js';
import {type Finding} from '#core';
import {
	describeAllowedWords, formatRules, parseRules, ruleDefaults,
} from '#rules';

const formatPlace = (finding: Finding) =>
	`${finding.line}:${finding.column} ${finding.key === undefined ? '' : `${finding.key} `}${JSON.stringify(finding.read)}`;

// Guards against accepting an invalid file, and against findings that are missing or have the wrong position.
await t.test('invalid files are rejected with all findings', t => {
	for (const {name, text, findings} of brokenRules) {
		const result = parseRules(text, 'a.rules');
		const found = result.kind === 'failed' ? result.failure : [];
		t.same(found.map(finding => formatPlace(finding)), findings.map(([expected]) => expected), name);
		for (const [i, [, allowed]] of findings.entries()) {
			t.match(found[i]?.allowed, allowed, name);
		}

		t.ok(found.every(({file}) => file === 'a.rules'));
	}

	t.end();
});

const canonical: ReadonlyArray<readonly [string, string]> = [
	['', ''],
	['# only a comment\r\n\r\n   # another\r\n', ''],
	['\tzone  a\topen   #asked by  Nimal  Perera :  x: y # z  ', 'zone a open # asked by Nimal Perera: x: y # z\n'],
	['zone a open # Asked By නිමල්', 'zone a open # asked by නිමල්\n'],
	['zone a close at 2026-12-05T23:30:01+05:30 # asked by A:', 'zone a close at 2026-12-05T18:00:01Z # asked by A\n'],
	['zone a hours 22:00-00:00,06:00-08:00@-03:30 # asked by A', 'zone a hours 06:00-08:00,22:00-24:00@-03:30 # asked by A\n'],
	['zone a hours 00:00-24:00@-00:00 # asked by A', 'zone a hours 00:00-24:00@+00:00 # asked by A\n'],
	[
		'model m versions=1\t#asked by A\nexperts m skew-weight=0.500000 quiet=18:00-20:00@+05:30#asked by B',
		'model m versions=1 # asked by A\nexperts m copies=64 skew-weight=0.5 move-weight=1 quiet=18:00-20:00@+05:30 # asked by B\n',
	],
	[
		'service s idempotency=optional retention=1440m non-idempotent=post:/a/* # asked by A',
		'service s idempotency=optional retention=1d non-idempotent=POST:/a/* # asked by A\n',
	],
	['service s idempotency=none # asked by A', 'service s idempotency=none non-idempotent=POST:/**,PATCH:/** # asked by A\n'],
	['service s idempotency=none non-idempotent=none # asked by A', 'service s idempotency=none non-idempotent=none # asked by A\n'],
];

// Guards against rejecting a valid file or misreading it.
await t.test('valid files are formatted as canonical text', t => {
	for (const [text, expected] of canonical) {
		const result = parseRules(text, 'a.rules');
		t.equal(result.kind === 'ok' ? formatRules(result.value) : result.failure, expected, JSON.stringify(text));
	}

	t.end();
});

await t.test('omitted options have the documented defaults', t => {
	const result = parseRules(`workspace w key-sha256=${'aB'.repeat(32)} # asked by A: test`, 'a.rules');
	t.same(result.kind === 'ok' && result.value.rules[0], {
		kind: 'workspace',
		name: 'w',
		keyHashes: ['ab'.repeat(32)],
		priority: ruleDefaults.priority,
		weight: ruleDefaults.weight,
		line: 1,
		attribution: {author: 'A', reason: 'test'},
	});
	t.end();
});

await t.test('hints suggest a word only if a similar one is allowed', t => {
	t.match(describeAllowedWords('idempotncy', ['idempotency', 'lookup']), /did you mean idempotency/u);
	t.notMatch(describeAllowedWords('zzz', ['idempotency', 'lookup']), /did you mean/u);
	t.end();
});
