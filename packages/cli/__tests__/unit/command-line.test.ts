import {spawnSync} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import t from 'tap';
import {run} from './harness.js';

const URL_OPTIONS = ['--platform', 'http://127.0.0.1:1', '--platform-key-file', 'p.key'];

const invalidCommandLines: ReadonlyArray<readonly [readonly string[], RegExp]> = [
	[[], /allowed: one of rules check/u],
	[['rules'], /allowed: one of rules check/u],
	[['rules', 'aply', 'f'], /did you mean rules apply/u],
	[['rules', 'check'], /usage: mimosamount rules check FILE/u],
	[['rules', 'check', 'a', 'b'], /usage: mimosamount rules check FILE/u],
	[['rules', 'check', 'a', '--author', 'x'], /rules check has no option --author/u],
	[['rules', 'check', 'a', '--colour'], /--colour/u],
	[['rules', 'diff', 'a'], /needs --platform URL, --platform-key-file FILE/u],
	[['rules', 'show', ...URL_OPTIONS, '--version', '0'], /--version: read "0"/u],
	[['rules', 'show', ...URL_OPTIONS, '--version'], /--version/u],
	[['rules', 'apply', 'a', ...URL_OPTIONS], /needs --author NAME/u],
	[['rules', 'apply', 'a', ...URL_OPTIONS, '--author', 'N', '--expect', 'x'], /--expect: read "x"/u],
	[['rules', 'apply', 'a', ...URL_OPTIONS, '--author', 'a: b'], /--author: read "a: b"/u],
	[['rules', 'history', '--platform', 'platform:7000', '--platform-key-file', 'p.key'], /--platform: read "platform:7000"/u],
	[['rules', 'history', '--platform', 'http://127.0.0.1:1/x', '--platform-key-file', 'p.key'], /without a path/u],
	[['rules', 'history', '--platform', 'http://127.0.0.1:1', '--platform-key-file', 'none.key'], /none\.key/u],
	[['rules', 'history', '--platform', 'http://127.0.0.1:1', '--platform-key-file', 'short.key'], /hidden, 5 bytes/u],
	[['explain', '--entry', 'http://127.0.0.1:1', '--operator-key-file', 'o.key', '--model', 'm'], /needs --workspace NAME/u],
];

await t.test('invalid usage exits with 2 and says what is allowed', async t => {
	const outcomes = await Promise.all(invalidCommandLines.map(async ([args]) => run(args, {files: {'short.key': 'short'}})));
	for (const [i, [args, message]] of invalidCommandLines.entries()) {
		t.match(outcomes[i], {code: 2, out: '', err: message}, args.join(' '));
	}
});

await t.test('help and version', async t => {
	const help = await run(['--help']);
	t.match(help, {code: 0, out: /usage: mimosamount COMMAND/u, err: ''});
	t.same(await run(['rules', 'apply', '--help']), help);
	t.match(await run(['--version']), {code: 0, out: 'mimosamount 9.9.9\n'});
});

// Guards against documented samples that the program rejects.
await t.test('the sample files pass the checks', async t => {
	const sampleFiles = [['rules', 'lankapura.rules'], ['rules', 'bantay-dagat.rules'], ['settings', 'entry.ini'], ['settings', 'endpoint.ini']] as const;
	const outcomes = await Promise.all(sampleFiles.map(async ([kind, name]) =>
		run([kind, 'check', name], {files: {[name]: readFileSync(`examples/${name}`)}})));
	t.same(outcomes.map(({code, err}) => [code, err]), sampleFiles.map(() => [0, '']));
});

await t.test('the rules in the documentation pass the checks', async t => {
	const pages = ['docs/OPERATING.md', 'packages/rules/README.md'].map(file => readFileSync(file, 'utf8'));
	const blocks = pages.flatMap(page => [...page.matchAll(/```\n(?<text>[^`]*# asked by [A-Z][a-z][^`]*)```/gu)].map(match => match.groups?.text ?? ''));
	const outcomes = await Promise.all(blocks.map(async text => run(['rules', 'check', 'a.rules'], {files: {'a.rules': text}})));
	t.same(outcomes.map(({code, err}) => [code, err]), [[0, ''], [0, '']]);
});

await t.test('the program sets its exit code and writes to the right streams', t => {
	const dir = mkdtempSync(path.join(tmpdir(), 'mimosamount-'));
	const file = path.join(dir, 'a.rules');
	writeFileSync(file, 'zone a\n');
	const invalid = spawnSync(process.execPath, ['target/packages/cli/src/bin.js', 'rules', 'check', file], {encoding: 'utf8'});
	t.match(invalid, {status: 2, stdout: '', stderr: /a\.rules:1:7/u});
	const version = spawnSync(process.execPath, ['target/packages/cli/src/bin.js', '--version'], {encoding: 'utf8'});
	t.match(version, {status: 0, stdout: /^mimosamount \d+\.\d+\.\d+\n$/u, stderr: ''});
	rmSync(dir, {recursive: true});
	t.end();
});
