/** Uses FUZZ_SEED and FUZZ_RUNS from the environment if set, otherwise a fixed seed. */
import fc from 'fast-check';
import t from 'tap';
import {endpointLines, entryLines} from './broken-settings.js';
import {readSettings} from '#settings';
import {fuzzParameters} from '#tooling';

const params = fuzzParameters({seed: 20_261_204, runs: 300});
const line = fc.oneof(fc.constantFrom(...entryLines, ...endpointLines), fc.string({unit: 'binary', maxLength: 30}));

// Guards against a file that crashes the daemon with an exception, and against findings with positions outside the file.
await t.test('the reader returns a result for arbitrary lines', t => {
	fc.assert(fc.property(fc.array(line, {maxLength: 40}), lines => {
		const result = readSettings(lines.join('\n'), 'a.ini');
		const count = lines.join('\n').split('\n').length;
		return result.kind === 'ok' || (result.failure.length > 0 && result.failure.every(finding => finding.line <= count));
	}), params);
	t.end();
});
