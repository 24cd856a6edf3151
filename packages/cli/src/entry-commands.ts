/** `status` and `explain`. */
import type {
	Candidate, Explain, MachineStatus, Status,
} from './admin-schema.js';
import type {Options} from './arguments.js';
import {
	exitCodes, printJson, type CliContext, type ExitCode,
} from './context.js';
import {EntryClient} from './entry-client.js';
import {readText} from './input-file.js';
import {
	formatAge, formatNumber, formatTable, toPlain,
} from './table.js';

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

function formatStatus({process, rules, platform, machines, drains}: Status): string {
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
				['MACHINE', 'ZONE', 'ROLE', 'GROUP', 'RANKS', 'STATE', 'RULES', 'MAP', 'QUEUED', 'RUNNING', 'TOKENS/S', 'STEP MS'],
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

function formatExplain(answer: Explain): string {
	const {refusal, grant} = answer;
	const head = [
		refusal === undefined ? 'The request would run.' : `The request would be refused: ${refusal.code}: ${refusal.message}`,
		`Workspace ${answer.workspace}, priority ${formatNumber(answer.priority)}, model ${answer.model}, rules version ${answer.rulesVersion}`,
		grant === undefined ? 'No limit applies.' : `Limit: ${formatNumber(grant.tokensPerSecond)} tokens/s now, ${formatNumber(grant.availableTokens)} tokens available`,
		`Prompt: ${answer.promptTokens} tokens`,
		...answer.notes,
	];
	const table = answer.candidates.length === 0
		? 'No endpoint serves this model.\n'
		: formatTable(
			['ENDPOINT', 'ZONE', 'COST MS', 'WAIT MS', 'PREFILL', 'CACHED', 'DISTANCE MS', 'STRAGGLER', 'NOTE'],
			answer.candidates.map(candidate => candidateRow(candidate)),
		);
	return `${head.map(line => `${toPlain(line)}\n`).join('')}\n${table}`;
}

function candidateRow(candidate: Candidate): readonly string[] {
	const notes = [
		...(candidate.excluded === undefined ? [] : [candidate.excluded]),
		...(candidate.isPrefixHome ? ['prefix home'] : []),
		...(candidate.isChosen ? ['chosen'] : []),
	];
	return [
		candidate.id,
		candidate.zone,
		formatNumber(candidate.costMs),
		formatNumber(candidate.waitMs),
		formatNumber(candidate.prefillTokens),
		formatNumber(candidate.cachedTokens),
		formatNumber(candidate.zoneDistanceMs),
		formatNumber(candidate.stragglerFactor),
		notes.join(', '),
	];
}
