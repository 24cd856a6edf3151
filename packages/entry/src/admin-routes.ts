/** HTTP routes for operators and for the platform's load balancer. */
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {isOperator} from './caller.js';
import {type EndpointRouter} from './endpoint-router.js';
import {qualifiedModelName, parseInferenceRequest} from './inference-request.js';
import {type WorkspaceLimits} from './workspace-limits.js';
import {
	explainRequestSchema, type ExplainResponse, type ExplainRequest, type MachineStatus, type StatusResponse,
} from '#admin';
import {type Machine} from '#membership';
import {type Peering} from '#peering';
import {
	isLeaving, isSuspected, type Replica, type RoutingTable,
} from '#routing';
import {resolveModel, type Target} from '#rules';
import {type EntrySettings} from '#settings';
import {type Metrics} from '#telemetry';

/** Dependencies of the routes. */
export type AdminRoutesOptions = {
	readonly settings: EntrySettings;
	readonly peering: Peering;
	readonly router: EndpointRouter;
	readonly limits: WorkspaceLimits;
	readonly metrics: Metrics;
	/** Version of the program. */
	readonly version: string;
	readonly state: () => {readonly running: number; readonly draining: boolean};
};

export class AdminRoutes {
	/** Registers the routes. */
	static register(http: FastifyInstance, options: AdminRoutesOptions): AdminRoutes {
		return new AdminRoutes(http, options);
	}

	readonly #options: AdminRoutesOptions;

	private constructor(http: FastifyInstance, options: AdminRoutesOptions) {
		this.#options = options;
		http.get('/healthz', async () => ({status: 'ok'}));
		http.get('/readyz', async (_req, res) => this.#ready(res));
		http.get('/metrics', async (_req, res) => {
			void res.type('text/plain; version=0.0.4');
			return options.metrics.expose();
		});
		http.get('/admin/status', async (req, res) => this.#requireOperator(req, res, () => this.#status()));
		http.post('/admin/explain', async (req, res) => this.#requireOperator(req, res, () => this.#explain(req, res)));
	}

	#requireOperator(req: FastifyRequest, res: FastifyReply, run: () => unknown): unknown {
		if (!isOperator(this.#options.settings.operatorKeyHash, req.headers)) {
			void res.code(401);
			return {error: {message: 'the operator key is missing or wrong', code: 'unauthorized'}};
		}

		return run();
	}

	#ready(res: FastifyReply): unknown {
		const {draining} = this.#options.state();
		const {readiness} = this.#options.peering;
		if (draining || readiness.kind === 'waiting') {
			void res.code(503);
			return {status: 'not-ready', reason: draining ? 'draining' : (readiness.kind === 'waiting' ? readiness.reason : '')};
		}

		return {status: 'ready'};
	}

	#status(): StatusResponse {
		const {peering, router, state, version} = this.#options;
		const {rules, ruleSet, directory, confirmedAt, platform} = peering.kernel.snapshot;
		const now = Date.now();
		const machines = directory.machines.map(machine => this.#machineStatus(machine, now));
		return {
			process: {
				id: peering.machine.id, zone: peering.machine.zone, region: peering.machine.region, version, uptimeMs: Math.round(process.uptime() * 1000), ...state(),
			},
			rules: {version: rules.newest.version, ...(confirmedAt === 0 ? {} : {ageMs: Math.max(0, now - confirmedAt)})},
			platform: {reachable: platform === 'answered'},
			machines,
			drains: [...ruleSet.access.values()].flat()
				.filter(rule => rule.access.kind === 'closed')
				.map(rule => ({
					target: rule.target, author: rule.attribution.author, reason: rule.attribution.reason, running: countRunning(rule.target, machines, router.table),
				})),
		};
	}

	#machineStatus(machine: Machine, now: number): MachineStatus {
		const {peering, router} = this.#options;
		const replica = router.table.get(machine.id);
		const report = replica?.report;
		return {
			id: machine.id,
			zone: machine.zone,
			region: machine.region,
			role: machine.role,
			state: machineState(machine, replica, now),
			linked: machine.id === peering.machine.id || peering.pool.findLink(machine.id) !== undefined,
			...(machine.group === undefined ? {} : {group: machine.group}),
			...(machine.ranks === undefined ? {} : {ranks: machine.ranks}),
			...(report === undefined || replica === undefined
				? {}
				: {
					load: {queuedTokens: report.queuedTokens, running: report.running, tokensPerSecond: report.tokensPerSecond},
					reportAgeMs: Math.max(0, now - replica.reportedAt),
					stepMs: report.stepMs,
				}),
			...router.versionsOf(machine.id),
		};
	}

	#explain(req: FastifyRequest, res: FastifyReply): unknown {
		const parsed = explainRequestSchema.safeParse(parseJson(req.body));
		if (!parsed.success) {
			void res.code(400);
			return {error: {message: 'the body must hold workspace, model and prompt', code: 'bad-request'}};
		}

		return this.#explainRequest(parsed.data);
	}

	#explainRequest({workspace, model, prompt}: ExplainRequest): ExplainResponse {
		const {peering, limits} = this.#options;
		const {ruleSet, rules} = peering.kernel.snapshot;
		const base = {
			workspace, rulesVersion: rules.newest.version, candidates: [], leftOut: [], notes: [],
		};
		const rule = ruleSet.workspaces.get(workspace);
		if (rule === undefined) {
			return {...base, model, refusal: {code: 'unauthorized', message: `the rules name no workspace ${workspace}`}};
		}

		const resolved = resolveModel(ruleSet, model);
		if (resolved === undefined) {
			return {...base, model, refusal: {code: 'unknown-model', message: `the rules name no model ${model}`}};
		}

		const rate = limits.rate(workspace, Date.now());
		return {
			...base,
			priority: rule.priority,
			...(Number.isFinite(rate) ? {grant: {tokensPerSecond: rate, availableTokens: limits.available(workspace, Date.now())}} : {}),
			...this.#route(qualifiedModelName(resolved), prompt),
		};
	}

	#route(model: string, prompt: string): Pick<ExplainResponse, 'model' | 'candidates' | 'leftOut' | 'chosen' | 'refusal'> {
		const {peering, router} = this.#options;
		const inference = parseInferenceRequest(Buffer.from(JSON.stringify({model, prompt})));
		const {prefixes, inputTokens, outputTokens} = inference.kind === 'ok' ? inference.value : {prefixes: [], inputTokens: 0, outputTokens: 0};
		const choice = router.explain({
			model,
			zone: peering.machine.zone,
			region: peering.machine.region,
			inputTokens,
			outputTokens,
			prefixes,
			prefixLookup: {hints: [], homeHitRate: 0},
			excluded: new Set(),
		});
		const candidates = choice.explanation.candidates.map(({reportAgeMs, ...cost}) => ({
			...cost, zone: router.table.get(cost.id)?.zone ?? '', ...(reportAgeMs === undefined ? {} : {reportAgeMs}),
		}));
		const result = {model, candidates, leftOut: [...choice.explanation.leftOut]};
		return choice.kind === 'chosen'
			? {...result, chosen: choice.replica.id}
			: {...result, refusal: {code: choice.reason, message: `no endpoint takes work for ${model}`}};
	}
}

function machineState(machine: Machine, replica: Replica | undefined, now: number): MachineStatus['state'] {
	if (machine.state === 'leaving' || (replica !== undefined && isLeaving(replica))) {
		return 'leaving';
	}

	if (replica?.closed) {
		return 'closed';
	}

	return replica !== undefined && isSuspected(replica, now) ? 'suspected' : 'live';
}

/** Number of requests in progress on a target, as last reported. */
function countRunning(target: Target, machines: readonly MachineStatus[], table: RoutingTable): number {
	return machines
		.filter(machine => ({endpoint: machine.id, group: machine.group, zone: machine.zone})[target.kind] === target.name)
		.reduce((sum, machine) => sum + (table.get(machine.id)?.report?.running ?? 0), 0);
}

function parseJson(body: unknown): unknown {
	try {
		return JSON.parse(Buffer.isBuffer(body) ? body.toString('utf8') : '');
	} catch {
		return undefined;
	}
}
