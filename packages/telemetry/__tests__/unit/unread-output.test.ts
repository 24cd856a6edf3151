/** Guards against a process that blocks, or grows without bound, because its standard output is not read. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import t from 'tap';

/** Writes ten times the maximum number of pending bytes. */
const script = `
import {createLogger} from '${new URL('../../src/index.js', import.meta.url).href}';
const logger = createLogger('m', 'info');
const line = 'x'.repeat(1000);
for (let i = 0; i < 10_000; i += 1) {
	logger.info(line);
}
setTimeout(() => process.stderr.write('went on'), 200);
setTimeout(() => process.exit(0), 300);
`;

await t.test('unread output does not block the process and uses bounded memory', async t => {
	const child = spawn(process.execPath, ['--max-old-space-size=64', '--input-type=module', '-e', script], {stdio: ['ignore', 'pipe', 'pipe']});
	t.teardown(() => child.kill('SIGKILL'));
	const [text] = await once(child.stderr.setEncoding('utf8'), 'data') as [string];
	t.equal(text, 'went on');
});
