/** Invalid rules files, each with all expected findings as `line:column [key] "read"` and a substring of `allowed`. */
import {maxLineChars, maxRulesBytes} from '#rules';

export type BrokenFile = {
	readonly name: string;
	readonly text: string;
	/** Position with the text that was read, then a substring of `allowed`. */
	readonly findings: ReadonlyArray<readonly [string, string]>;
};

const ASKED_BY = '# asked by Nimal';
const hash = (digit: string) => digit.repeat(64);

function broken(name: string, text: string, ...findings: ReadonlyArray<readonly [string, string]>): BrokenFile {
	return {name, text, findings};
}

export const brokenRules: readonly BrokenFile[] = [
	broken('no comment', 'zone a open', ['1:12 ""', 'asked by NAME']),
	broken('comment without a name', 'zone a open # because', ['1:13 "# because"', 'asked by NAME']),
	broken('empty name', 'zone a open # asked by : x', ['1:13 ""', 'at least one letter']),
	broken('name of digits', 'zone a open # asked by 42', ['1:13 "42"', 'at least one letter']),
	broken('misspelt rule', `zoen a open ${ASKED_BY}`, ['1:1 "zoen"', 'did you mean zone?']),
	broken('unknown rule without a likely word', `frobnicate ${ASKED_BY}`, ['1:1 "frobnicate"', 'one of endpoint, group, zone']),
	broken('missing name', `endpoint ${ASKED_BY}`, ['1:9 ""', 'the name of the endpoint']),
	broken('bad name', `endpoint -a open ${ASKED_BY}`, ['1:10 "-a"', '1 to 63 letters']),
	broken('missing state', `group g ${ASKED_BY}`, ['1:8 ""', 'open, closed, close, hours']),
	broken('misspelt state', `group g colsed ${ASKED_BY}`, ['1:9 "colsed"', 'did you mean closed?']),
	broken('extra word', `zone a closed now ${ASKED_BY}`, ['1:15 "now"', 'end of the line']),
	broken('close without at', `zone a close 2026-12-05T18:00Z ${ASKED_BY}`, ['1:14 "2026-12-05T18:00Z"', 'at']),
	broken('time without an offset', `zone a close at 2026-12-05T18:00 ${ASKED_BY}`, ['1:17 "2026-12-05T18:00"', '2026-12-05T18:00Z']),
	broken('day that does not exist', `zone a open at 2026-02-30T18:00Z ${ASKED_BY}`, ['1:16 "2026-02-30T18:00Z"', 'a time such as']),
	broken('hour that does not exist', `zone a open at 2026-02-20T24:00Z ${ASKED_BY}`, ['1:16 "2026-02-20T24:00Z"', 'a time such as']),
	broken('year out of range', `zone a open at 1999-02-20T12:00Z ${ASKED_BY}`, ['1:16 "1999-02-20T12:00Z"', '2000 to 2099']),
	broken('hours without an offset', `zone a hours 06:00-22:00 ${ASKED_BY}`, ['1:14 "06:00-22:00"', '@+05:30']),
	broken('bad offset', `zone a hours 06:00-22:00@+15:00 ${ASKED_BY}`, ['1:26 "+15:00"', 'at most 14:00']),
	broken('two bad windows', `zone a hours 6-22,07:00-07:00@Z ${ASKED_BY}`, ['1:14 "6-22"', 'a window'], ['1:19 "07:00-07:00"', 'a window']),
	broken('overlapping windows past midnight', `zone a hours 22:00-07:00,06:00-08:00@Z ${ASKED_BY}`, ['1:14 "22:00-07:00,06:00-08:00@Z"', 'do not overlap']),
	broken(
		'duplicates and contradictions',
		`zone a open ${ASKED_BY}\nzone a closed ${ASKED_BY}\nzone b close at 2026-12-05T18:00Z ${ASKED_BY}\nzone b open at 2026-12-05T23:30+05:30 ${ASKED_BY}\nzone a open ${ASKED_BY}`,
		['2:8 "zone a closed"', 'no contradiction of line 1'],
		['4:8 "zone b open at 2026-12-05T18:00Z"', 'no contradiction of line 3'],
		['5:8 "zone a open"', 'the first is line 1'],
	),
	broken(
		'open but closed until a planned opening',
		`zone a open ${ASKED_BY}\nzone a open at 2026-12-05T18:00Z ${ASKED_BY}`,
		['1:8 "zone a open"', 'closed until then'],
	),
	broken('two hours rules', `zone a hours 06:00-22:00@Z ${ASKED_BY}\nzone a hours 06:00-21:00@Z`, ['2:8 "zone a hours 06:00-21:00@+00:00"', 'line 1'], ['2:27 ""', 'asked by NAME']),
	broken('workspace without a key', `workspace w priority=1 ${ASKED_BY}`, ['1:23 key-sha256 ""', 'key-sha256=']),
	broken(
		'numbers out of range',
		`workspace w key-sha256=${hash('a')} priority=10 weight=0 limit-tokens-per-second=1e3 limit-requests-per-second= ${ASKED_BY}`,
		['1:98 priority "10"', 'from 0 to 9'],
		['1:108 weight "0"', 'from 1 to 1000'],
		['1:134 limit-tokens-per-second "1e3"', 'a whole number'],
		['1:164 limit-requests-per-second ""', 'a whole number'],
	),
	broken(
		'short and repeated key',
		`workspace w key-sha256=abc,${hash('a')},${hash('a')} ${ASKED_BY}`,
		['1:24 key-sha256 "(hidden, 3 characters)"', '64 hex digits'],
		[`1:93 key-sha256 "${hash('a')}"`, 'each item once'],
	),
	broken('key of two workspaces', `workspace v key-sha256=${hash('a')} ${ASKED_BY}\nworkspace w key-sha256=${hash('A')} ${ASKED_BY}`, [`2:13 key-sha256 "${hash('a')}"`, 'v on line 1 has the same']),
	broken(
		'workspace twice, once broken',
		`workspace w key-sha256=${hash('a')} ${ASKED_BY}\nworkspace w key-sha256=x ${ASKED_BY}`,
		['2:11 "workspace w"', 'the first is line 1'],
		['2:24 key-sha256 "(hidden, 1 characters)"', '64 hex digits'],
	),
	broken(
		'unknown, misspelt and repeated options',
		`model m version=1 versions=1 versions=2 x ${ASKED_BY}`,
		['1:9 "version=1"', 'did you mean versions?'],
		['1:30 versions "versions=2"', 'each option once'],
		['1:41 "x"', 'key=value'],
	),
	broken('model without versions', `model m adapters=a,,b ${ASKED_BY}`, ['1:20 adapters ""', '1 to 63 letters'], ['1:22 versions ""', 'versions=']),
	broken('experts of an unknown model', `model drafting versions=1 ${ASKED_BY}\nexperts draftnig copies=64 ${ASKED_BY}`, ['2:9 "draftnig"', 'did you mean drafting?']),
	broken(
		'bad expert numbers',
		`model m versions=1 ${ASKED_BY}\nexperts m copies=4097 skew-weight=-1 move-weight=.5 ${ASKED_BY}`,
		['2:18 copies "4097"', '4096'],
		['2:35 skew-weight "-1"', '0 to 1000'],
		['2:50 move-weight ".5"', '0 to 1000'],
	),
	broken(
		'service options without claims',
		`service s idempotency=none retention=24h lookup=/k/{key} ${ASKED_BY}`,
		['1:28 retention "retention=... with idempotency=none"', 'required or optional'],
		['1:42 lookup "lookup=... with idempotency=none"', 'required or optional'],
	),
	broken('keys required for no call', `service s idempotency=required non-idempotent=none ${ASKED_BY}`, ['1:32 non-idempotent "none"', 'at least one pattern']),
	broken(
		'bad service values',
		`service s idempotency=require retention=24 lookup=/k non-idempotent=POST,GET:/a/**/b ${ASKED_BY}`,
		['1:23 idempotency "require"', 'did you mean required?'],
		['1:41 retention "24"', 'from 1m to 30d'],
		['1:51 lookup "/k"', '{key} once'],
		['1:69 non-idempotent "POST"', 'METHOD:/path'],
		['1:74 non-idempotent "GET:/a/**/b"', 'METHOD:/path'],
	),
	broken('engines without fencing', `engines a ${ASKED_BY}`, ['1:10 fencing ""', 'fencing=']),
	broken('engines twice', `engines a fencing=checked ${ASKED_BY}\nengines a fencing=ignored ${ASKED_BY}`, ['2:9 "engines a"', 'the first is line 1']),
	broken('control characters', `zone a\u0007 open\u0000 ${ASKED_BY}`, ['1:7 "U+0007"', 'printable'], ['1:13 "U+0000"', 'printable']),
	broken('text that reads in another direction', `zone a open ${ASKED_BY}: \u202Eneddih`, ['1:31 "U+202E"', 'printable']),
	broken('byte order mark and lone surrogate', `\uFEFFzone a open ${ASKED_BY}\n# \uD800`, ['1:1 "U+FEFF"', 'printable'], ['2:3 "U+D800"', 'printable']),
	broken('overlong line', `zone a open ${ASKED_BY}: ${'x'.repeat(maxLineChars)}`, [`1:${maxLineChars + 1} "2030 characters"`, '2000 characters']),
	broken('too large a file', '#\n'.repeat((maxRulesBytes / 2) + 1), ['1:1 "900002 bytes"', '900000 bytes']),
];
