#!/usr/bin/env node
/** `mimosamountd SETTINGS-FILE`: runs one daemon in the role that its settings name. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {formatFinding} from '#core';
import {readVersion, registerSignals, startDaemon} from '#daemon';
import {readSettings, resolveKeys} from '#settings';

const USAGE = `Usage: mimosamountd SETTINGS-FILE

Runs one daemon of the load balancer. The settings name its role: entry or endpoint.

Options:
  --help     show this text
  --version  show the version

Exit codes: 0 stopped after finishing all work, 1 failed, 2 wrong usage or settings.
`;

const USAGE_EXIT_CODE = 2;

function reportUsageError(message: string): void {
	process.stderr.write(`mimosamountd: ${message}\n`);
	process.exitCode = USAGE_EXIT_CODE;
}

async function runDaemon(file: string): Promise<void> {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		reportUsageError(error instanceof Error ? error.message : `${file} cannot be read`);
		return;
	}

	const settings = readSettings(text, file);
	const keys = settings.kind === 'ok' ? resolveKeys(settings.value, path => readFileSync(path, 'utf8')) : settings;
	if (settings.kind === 'failed' || keys.kind === 'failed') {
		const findings = keys.kind === 'failed' ? keys.failure : [];
		for (const finding of findings) {
			process.stderr.write(`${formatFinding(finding)}\n`);
		}

		reportUsageError(`${findings.length} findings; not started`);
		return;
	}

	const daemon = await startDaemon(settings.value, keys.value);
	registerSignals(daemon);
	process.stdout.write(`${JSON.stringify({ready: true, callerPort: daemon.callerPort, peerPort: daemon.peerPort})}\n`);
}

try {
	const {values, positionals} = parseArgs({allowPositionals: true, options: {help: {type: 'boolean'}, version: {type: 'boolean'}}});
	const [file] = positionals;
	if (values.help) {
		process.stdout.write(USAGE);
	} else if (values.version) {
		process.stdout.write(`${readVersion()}\n`);
	} else if (file === undefined || positionals.length > 1) {
		reportUsageError('exactly one settings file is required; see --help');
	} else {
		await runDaemon(file);
	}
} catch (error) {
	process.stderr.write(`mimosamountd: ${error instanceof Error ? error.message : String(error)}\n`);
	process.exitCode = error instanceof TypeError ? USAGE_EXIT_CODE : 1;
}
