#!/usr/bin/env node
/** `mimosamountd SETTINGS-FILE`: runs one daemon in the role that its settings name. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {ProcessLife} from '#lifecycle';

const USAGE = `Usage: mimosamountd SETTINGS-FILE

Runs one daemon of the load balancer. The settings name its role: entry or endpoint.

Options:
  --help     show this text
  --version  show the version

Signals: SIGTERM and SIGINT stop it once all work in progress has ended; further ones change nothing.

Exit codes: 0 stopped after finishing all work, 1 failed, 2 wrong usage or settings.
`;

const USAGE_EXIT_CODE = 2;

try {
	const {values, positionals} = parseArgs({allowPositionals: true, options: {help: {type: 'boolean'}, version: {type: 'boolean'}}});
	const [file] = positionals;
	if (values.help) {
		process.stdout.write(USAGE);
	} else if (values.version) {
		const {readVersion} = await import('#daemon');
		process.stdout.write(`${readVersion()}\n`);
	} else if (file === undefined || positionals.length > 1) {
		process.stderr.write('mimosamountd: exactly one settings file is required; see --help\n');
		process.exitCode = USAGE_EXIT_CODE;
	} else {
		await ProcessLife.create().run(async () => {
			const {loadDaemon} = await import('#daemon');
			return loadDaemon(file);
		});
	}
} catch (error) {
	process.stderr.write(`mimosamountd: ${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = error instanceof TypeError ? USAGE_EXIT_CODE : 1;
}
