import {
	CommandEnd, exitCodes, type CliContext, type ExitCode,
} from './context.js';
import type {EntryClient} from './entry-client.js';
import type {StatusResponse} from '#admin';

const POLL_MS = 500;
const SHOWN_MACHINES = 10;

/** Version to wait for, and for how long. */
type Wait = {
	readonly version: number;
	readonly timeoutMs: number;
};

/**
 * Waits until the entry and all machines whose version it knows have a version of the rules. The
 * rules stay accepted when the time ends; an entry that cannot be reached is asked again until then.
 */
export async function waitForVersion(context: CliContext, entry: EntryClient, {version, timeoutMs}: Wait): Promise<ExitCode> {
	const end = context.now() + timeoutMs;
	for (;;) {
		const missing = await findMissing(context, entry, version);
		if (missing === undefined) {
			return exitCodes.done;
		}

		if (context.now() >= end) {
			context.tell(`rules: version ${version} is accepted, but not in force everywhere after ${timeoutMs / 1000} s: ${missing}\n`);
			return exitCodes.failed;
		}

		await context.delay(POLL_MS);
	}
}

/** What still lacks the version; undefined when nothing does. */
async function findMissing(context: CliContext, entry: EntryClient, version: number): Promise<string | undefined> {
	const status = await tryStatus(entry);
	if (status instanceof CommandEnd) {
		return status.message;
	}

	const known = status.machines.filter(machine => machine.rulesVersion !== undefined);
	const behind = known.filter(machine => (machine.rulesVersion ?? 0) < version).map(machine => machine.id);
	if (status.rules.version < version || behind.length > 0) {
		const names = behind.length === 0 ? '' : ` (${behind.slice(0, SHOWN_MACHINES).join(', ')})`;
		return `the entry has version ${status.rules.version}, ${behind.length} machines are behind${names}`;
	}

	const silent = status.machines.length - known.length;
	context.tell(`rules: version ${version} is in force on the entry and ${known.length} machines${silent === 0 ? '' : `; ${silent} do not report to this entry`}\n`);
	return undefined;
}

async function tryStatus(entry: EntryClient): Promise<StatusResponse | CommandEnd> {
	try {
		return await entry.status();
	} catch (error) {
		if (error instanceof CommandEnd && error.exitCode === exitCodes.unreachable) {
			return error;
		}

		throw error;
	}
}
