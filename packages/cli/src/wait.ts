import {
	CommandError, exitCodes, type CliContext, type ExitCode,
} from './context.js';
import type {EntryClient} from './entry-client.js';
import type {StatusResponse} from '#admin';

const POLL_INTERVAL_MS = 500;
const MAX_LISTED_MACHINES = 10;

/** Version to wait for and the timeout. */
type WaitOptions = {
	readonly version: number;
	readonly timeoutMs: number;
};

/**
 * Waits until a version of the rules is in force on the entry and on all machines that report their version to it.
 * An entry that cannot be reached is polled until the timeout. The rules stay accepted after a timeout.
 */
export async function waitForVersion(context: CliContext, entry: EntryClient, {version, timeoutMs}: WaitOptions): Promise<ExitCode> {
	const deadline = context.now() + timeoutMs;
	for (;;) {
		const pending = await describePending(context, entry, version);
		if (pending === undefined) {
			return exitCodes.done;
		}

		if (context.now() >= deadline) {
			context.writeStderr(`rules: version ${version} is accepted, but not in force everywhere after ${timeoutMs / 1000} s: ${pending}\n`);
			return exitCodes.failed;
		}

		await context.delay(POLL_INTERVAL_MS);
	}
}

/** Describes what does not have the version yet; undefined when everything has it. */
async function describePending(context: CliContext, entry: EntryClient, version: number): Promise<string | undefined> {
	const status = await requestStatus(entry);
	if (status instanceof CommandError) {
		return status.message;
	}

	const reporting = status.machines.filter(machine => machine.rulesVersion !== undefined);
	const outdated = reporting.filter(machine => (machine.rulesVersion ?? 0) < version).map(machine => machine.id);
	if (status.rules.version < version || outdated.length > 0) {
		const names = outdated.length === 0 ? '' : ` (${outdated.slice(0, MAX_LISTED_MACHINES).join(', ')})`;
		return `the entry has version ${status.rules.version}, ${outdated.length} machines are behind${names}`;
	}

	const notReporting = status.machines.length - reporting.length;
	context.writeStderr(`rules: version ${version} is in force on the entry and ${reporting.length} machines${notReporting === 0 ? '' : `; ${notReporting} do not report to this entry`}\n`);
	return undefined;
}

async function requestStatus(entry: EntryClient): Promise<StatusResponse | CommandError> {
	try {
		return await entry.status();
	} catch (error) {
		if (error instanceof CommandError && error.exitCode === exitCodes.unreachable) {
			return error;
		}

		throw error;
	}
}
