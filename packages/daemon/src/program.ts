/** The daemon as a program: its settings, its start and what its process needs to stop it. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {startDaemon} from './daemon.js';
import {formatFinding, type Finding} from '#core';
import type {LoadedProgram} from '#lifecycle';
import {readSettings, resolveKeys} from '#settings';
import {createLogger} from '#telemetry';

/** Reads the settings file; all findings are reported on standard error. */
export function loadDaemon(file: string): LoadedProgram {
	const readFile = (path: string) => readFileSync(path, 'utf8');
	let text: string;
	try {
		text = readFile(file);
	} catch (error) {
		return rejectSettings([], error instanceof Error ? error.message : `${file} cannot be read`);
	}

	const settings = readSettings(text, file);
	if (settings.kind === 'failed') {
		return rejectSettings(settings.failure);
	}

	const keys = resolveKeys(settings.value, readFile);
	if (keys.kind === 'failed') {
		return rejectSettings(keys.failure);
	}

	const log = createLogger(settings.value.id, settings.value.logLevel);
	return {
		kind: 'loaded', program: {
			logger: log,
			graceMs: Infinity,
			async start(signal) {
				const daemon = await startDaemon({settings: settings.value, keys: keys.value, log}, signal);
				// A reader that has closed the pipe must not end the work in progress.
				process.stdout.on('error', () => undefined);
				process.stdout.write(`${JSON.stringify({ready: true, callerPort: daemon.callerPort, peerPort: daemon.peerPort})}\n`);
				return {
					...daemon, reload() {
						log.info('reload', {settings: file});
					},
				};
			},
		},
	};
}

function rejectSettings(findings: readonly Finding[], message = `${findings.length} findings; not started`): LoadedProgram {
	for (const finding of findings) {
		process.stderr.write(`${formatFinding(finding)}\n`);
	}

	process.stderr.write(`mimosamountd: ${message}\n`);
	return {kind: 'settings-invalid', error: new Error(message), logger: createLogger('mimosamountd', 'info')};
}
