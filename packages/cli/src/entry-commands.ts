/** `status` and `explain`. */
import type {Options} from './arguments.js';
import {
	exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {EntryClient} from './entry-client.js';
import {readText} from './input-file.js';
import {
	formatAge, formatNumber, formatTable, toPlain,
} from './table.js';
import type {
	Candidate, ExplainResponse, MachineStatus, StatusResponse,
} from '#admin';

/** Shows the fleet as one entry sees it. */
export async function showStatus(context: CliContext, options: Options): Promise<ExitCode> {
	return withEntry(context, options, async entry => {
		const status = await entry.status();
		if (options.has('json')) {
			printJson(context, status);
		} else {
			context.print(formatStatus(status));
		}
	});
}

/** Shows what would happen to a request; nothing is run. */
export async function explain(context: CliContext, options: Options): Promise<ExitCode> {
	const prompt = options.has('prompt-file') ? readText(context, options.text('prompt-file')) : '';
	return withEntry(context, options, async entry => {
		const answer = await entry.explain({workspace: options.text('workspace'), model: options.text('model'), prompt});
		if (options.has('json')) {
			printJson(context, answer);
		} else {
			context.print(formatExplain(answer));
		}
	});
}

async function withEntry(context: CliContext, options: Options, run: (entry: EntryClient) => Promise<void>): Promise<ExitCode> {
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
	const age = rules.ageMs === undefined ? 'never confirmed' : `confirmed ${formatAge(rules.ageMs)} ago`;
	const reach = platform.reachable ? 'reachable' : 'not reachable';
	const head = [
		`Entry ${process.id} in ${process.zone} (${process.region}), version ${process.version}, up ${formatAge(process.uptimeMs)}`,
		`Rules: version ${version}, ${age}`,
		`Platform: ${reach}${platform.lastAnswerAgeMs === undefined ? '' : `, last answer ${formatAge(platform.lastAnswerAgeMs)} ago`}`,
	];
	const tables = [
		machines.length === 0
			? 'No machines.\n'
			: formatTable(
				['MACHINE', 'ZONE', 'ROLE', 'GROUP', 'RANKS', 'STATE', 'RULES', 'MAP', 'QUEUED', 'RUNNING', 'TOKENS/S', 'STEP MS', 'REPORT'],
				machines.map(machine => machineRow(machine)),
			),
		drains.length === 0
			? 'No drains.\n'
			: formatTable(
				['DRAINED', 'RUNNING', 'ASKED BY', 'REASON'],
				drains.map(({target, running, author, reason}) => [`${target.kind} ${target.name}`, formatNumber(running), author, reason]),
			),
	];
	return `${head.map(line => `${toPlain(line)}\n`).join('')}\n${tables.join('\n')}`;
}

function machineRow(machine: MachineStatus): readonly string[] {
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
		formatAge(machine.reportAgeMs),
	];
}

/** Consecutive ranks as `0-7`, others between commas. */
function formatRanks(ranks: readonly number[] | undefined): string {
	if (ranks === undefined || ranks.length === 0) {
		return '-';
	}

	const [first, last] = [Math.min(...ranks), Math.max(...ranks)];
	return last - first + 1 === ranks.length && ranks.length > 1 ? `${first}-${last}` : ranks.join(',');
}

function formatExplain(answer: ExplainResponse): string {
	const {refusal, grant} = answer;
	const head = [
		refusal === undefined ? 'The request would run.' : `The request would be refused: ${refusal.code}: ${refusal.message}`,
		`Workspace ${answer.workspace}, priority ${formatNumber(answer.priority)}, model ${answer.model}, rules version ${answer.rulesVersion}`,
		grant === undefined ? 'No limit applies.' : `Limit: ${formatNumber(grant.tokensPerSecond)} tokens/s now, ${formatNumber(grant.availableTokens)} tokens available`,
		...answer.notes,
	];
	const tables = [
		answer.candidates.length === 0
			? 'No endpoint was considered.\n'
			: formatTable(
				['CANDIDATE', 'ZONE', 'SOURCE', 'COST MS', 'WAIT MS', 'QUEUE', 'OWN', 'PREFILL', 'ZONE MS', 'STRAGGLER', 'BALANCE', 'CACHED', 'REPORT', ''],
				answer.candidates.map(candidate => candidateRow(candidate, answer.chosen)),
			),
		...(answer.leftOut.length === 0 ? [] : [formatTable(['LEFT OUT', 'REASON'], answer.leftOut.map(({id, reason}) => [id, reason]))]),
	];
	return `${head.map(line => `${toPlain(line)}\n`).join('')}\n${tables.join('\n')}`;
}

function candidateRow(candidate: Candidate, chosen: string | undefined): readonly string[] {
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
		formatAge(candidate.reportAgeMs),
		candidate.id === chosen ? 'chosen' : '',
	];
}
