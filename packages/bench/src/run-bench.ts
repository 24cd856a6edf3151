/**
 * `npm run bench -- [part...] [--json] [--out DIR]`: runs parts of the benchmark sequentially,
 * prints their tables, and writes tables, charts and raw results to a folder.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {InputError} from '#core';
import {
	BENCH_PARTS, formatMachine, formatResult, readMachine, selectParts, writeResult,
} from '#bench';

const DEFAULT_FOLDER = 'reports';

async function main(names: readonly string[], json: boolean, folder: string): Promise<void> {
	const results: unknown[] = [];
	for (const part of selectParts(BENCH_PARTS, names)) {
		const machine = readMachine(new Date());
		const result = await part.run({
			note: formatMachine(machine),
			log(line) {
				process.stderr.write(`${line}\n`);
			},
		});
		const files = writeResult(folder, part.name, machine, result);
		results.push({name: part.name, machine, ...result});
		process.stderr.write(`bench: wrote ${files.join(', ')}\n`);
		if (!json) {
			console.log(`${formatResult(result)}\n\nMeasured on ${formatMachine(machine)}.\n`);
		}
	}

	if (json) {
		console.log(JSON.stringify(results));
	}
}

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		json: {type: 'boolean', default: false},
		out: {type: 'string', default: DEFAULT_FOLDER},
		help: {type: 'boolean', default: false},
	},
});
if (values.help) {
	const parts = BENCH_PARTS.map(part => `  ${part.name.padEnd(12)} ${part.description}`).join('\n');
	console.log(`usage: npm run bench -- [part...] [--json] [--out DIR]\n\n${parts}`);
} else {
	try {
		await main(positionals, values.json, values.out);
	} catch (error) {
		if (!(error instanceof InputError)) {
			throw error;
		}

		console.error(error.message);
		process.exitCode = 2;
	}
}
