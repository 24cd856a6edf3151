/** `status` and `explain`. */
import type {Options} from './arguments.js';
import {
	exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {EntryClient} from './entry-client.js';
import {readTextFile} from './input-file.js';
import {
	formatDuration, formatNumber, formatTable, replaceControlCharacters,
} from './table.js';
import type {
	Candidate, ExplainResponse, MachineStatus, StatusResponse,
} from '#admin';

/** Shows the machines, the drains and the state of the platform as one entry sees them. */
export async function showStatus(context: CliContext, options: Options): Promise<ExitCode> {
	return withEntryClient(context, options, async entry => {
		const status = await entry.status();
		if (options.has('json')) {
			printJson(context, status);
		} else {
			context.writeStdout(formatStatus(status));
		}
	});
}

/** Shows how a request would be routed, without running it. */
export async function explain(context: CliContext, options: Options): Promise<ExitCode> {
	const prompt = options.has('prompt-file') ? readTextFile(context, options.getString('prompt-file')) : '';
	return withEntryClient(context, options, async entry => {
		const response = await entry.explain({workspace: options.getString('workspace'), model: options.getString('model'), prompt});
		if (options.has('json')) {
			printJson(context, response);
		} else {
			context.writeStdout(formatExplain(response));
		}
	});
}

async function withEntryClient(context: CliContext, options: Options, run: (entry: EntryClient) => Promise<void>): Promise<ExitCode> {
	const entry = EntryClient.create(context, options);
	try {
		await run(entry);
		return exitCodes.done;
	} finally {
		await entry.close();
	}
}

function formatStatus({process, rules, platform, machines, drains}: StatusResponse): string {
	const version = rules.version === 0 ? 'none' : String(rules.version);
	const age = rules.ageMs === undefined ? 'never confirmed' : `confirmed ${formatDuration(rules.ageMs)} ago`;
	const reachability = platform.reachable ? 'reachable' : 'not reachable';
	const summary = [
		`Entry ${process.id} in ${process.zone} (${process.region}), version ${process.version}, up ${formatDuration(process.uptimeMs)}`,
		`Rules: version ${version}, ${age}`,
		`Platform: ${reachability}${platform.lastAnswerAgeMs === undefined ? '' : `, last answer ${formatDuration(platform.lastAnswerAgeMs)} ago`}`,
	];
	const tables = [
		machines.length === 0
			? 'No machines.\n'
			: formatTable(
				['MACHINE', 'ZONE', 'ROLE', 'GROUP', 'RANKS', 'STATE', 'RULES', 'MAP', 'QUEUED', 'RUNNING', 'TOKENS/S', 'STEP MS', 'REPORT'],
				machines.map(machine => formatMachineRow(machine)),
			),
		drains.length === 0
			? 'No drains.\n'
			: formatTable(
				['DRAINED', 'RUNNING', 'ASKED BY', 'REASON'],
				drains.map(({target, running, author, reason}) => [`${target.kind} ${target.name}`, formatNumber(running), author, reason]),
			),
	];
	return `${summary.map(line => `${replaceControlCharacters(line)}\n`).join('')}\n${tables.join('\n')}`;
}

function formatMachineRow(machine: MachineStatus): readonly string[] {
	return [
		machine.id,
		machine.zone,
		machine.role,
		machine.group ?? '-',
		formatRanks(machine.ranks),
		machine.state,
		formatNumber(machine.rulesVersion),
		formatNumber(machine.mapVersion),
		formatNumber(machine.load?.queuedTokens),
		formatNumber(machine.load?.running),
		formatNumber(machine.load?.tokensPerSecond),
		formatNumber(machine.stepMs),
		formatDuration(machine.reportAgeMs),
	];
}

/** Consecutive ranks as a range such as `0-7`, others as a comma-separated list. */
function formatRanks(ranks: readonly number[] | undefined): string {
	if (ranks === undefined || ranks.length === 0) {
		return '-';
	}

	const [first, last] = [Math.min(...ranks), Math.max(...ranks)];
	return last - first + 1 === ranks.length && ranks.length > 1 ? `${first}-${last}` : ranks.join(',');
}

function formatExplain(response: ExplainResponse): string {
	const {refusal, grant} = response;
	const summary = [
		refusal === undefined ? 'The request would run.' : `The request would be refused: ${refusal.code}: ${refusal.message}`,
		`Workspace ${response.workspace}, priority ${formatNumber(response.priority)}, model ${response.model}, rules version ${response.rulesVersion}`,
		grant === undefined ? 'No limit applies.' : `Limit: ${formatNumber(grant.tokensPerSecond)} tokens/s now, ${formatNumber(grant.availableTokens)} tokens available`,
		...response.notes,
	];
	const tables = [
		response.candidates.length === 0
			? 'No endpoint was considered.\n'
			: formatTable(
				['CANDIDATE', 'ZONE', 'SOURCE', 'COST MS', 'WAIT MS', 'QUEUE', 'OWN', 'PREFILL', 'ZONE MS', 'STRAGGLER', 'BALANCE', 'CACHED', 'REPORT', ''],
				response.candidates.map(candidate => formatCandidateRow(candidate, response.chosen)),
			),
		...(response.leftOut.length === 0 ? [] : [formatTable(['LEFT OUT', 'REASON'], response.leftOut.map(({id, reason}) => [id, reason]))]),
	];
	return `${summary.map(line => `${replaceControlCharacters(line)}\n`).join('')}\n${tables.join('\n')}`;
}

function formatCandidateRow(candidate: Candidate, chosen: string | undefined): readonly string[] {
	return [
		candidate.id,
		candidate.zone,
		candidate.source,
		formatNumber(candidate.costMs),
		formatNumber(candidate.waitMs),
		formatNumber(candidate.queueMs),
		formatNumber(candidate.ownMs),
		formatNumber(candidate.prefillMs),
		formatNumber(candidate.zoneMs),
		formatNumber(candidate.straggler),
		formatNumber(candidate.balanceMs),
		formatNumber(candidate.cachedTokens),
		formatDuration(candidate.reportAgeMs),
		candidate.id === chosen ? 'chosen' : '',
	];
}
