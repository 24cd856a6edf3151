/** Routes for operators and for the platform's balancer. */
import {Buffer} from 'node:buffer';
import {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {isOperator} from './caller.js';
import {type Fleet} from './fleet.js';
import {readInference} from './inference.js';
import {type Peering} from '#peering';
import {resolveModel} from '#rules';
import {type EntrySettings} from '#settings';
import {type Metrics} from '#telemetry';

/** What the routes read. */
export type AdminOptions = {
	readonly settings: EntrySettings;
	readonly peering: Peering;
	readonly fleet: Fleet;
	readonly metrics: Metrics;
	readonly state: () => {readonly running: number; readonly draining: boolean};
};

const explainSchema = z.object({workspace: z.string(), model: z.string(), prompt: z.string().optional()});

export class AdminRoutes {
	/** Adds the routes. */
	static register(http: FastifyInstance, options: AdminOptions): AdminRoutes {
		return new AdminRoutes(http, options);
	}

	readonly #options: AdminOptions;

	private constructor(http: FastifyInstance, options: AdminOptions) {
		this.#options = options;
		http.get('/healthz', async () => ({status: 'ok'}));
		http.get('/readyz', async (_req, res) => this.#ready(res));
		http.get('/metrics', async (_req, res) => {
			void res.type('text/plain; version=0.0.4');
			return options.metrics.expose();
		});
		http.get('/admin/status', async (req, res) => this.#guard(req, res, () => this.#status()));
		http.post('/admin/explain', async (req, res) => this.#guard(req, res, () => this.#explain(req, res)));
	}

	#guard(req: FastifyRequest, res: FastifyReply, run: () => unknown): unknown {
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

	#status(): unknown {
		const {peering, fleet} = this.#options;
		const {rules, directory, confirmedAt, platform} = peering.kernel.snapshot;
		const now = Date.now();
		return {
			id: peering.machine.id,
			zone: peering.machine.zone,
			...this.#options.state(),
			rules: {version: rules.newest.version, confirmedAgeMs: confirmedAt === 0 ? null : now - confirmedAt},
			platform,
			machines: directory.machines.map(machine => {
				const replica = fleet.table.get(machine.id);
				return {
					...machine,
					linked: peering.pool.linked(machine.id) !== undefined,
					closed: replica?.closed ?? false,
					report: replica?.report ?? null,
					reportAgeMs: replica?.report === undefined ? null : now - replica.reportedAt,
				};
			}),
		};
	}

	#explain(req: FastifyRequest, res: FastifyReply): unknown {
		const parsed = explainSchema.safeParse(readJson(req.body));
		if (!parsed.success) {
			void res.code(400);
			return {error: {message: 'the body must hold workspace and model', code: 'bad-request'}};
		}

		const {peering, fleet} = this.#options;
		const {workspace, model, prompt} = parsed.data;
		const {ruleSet} = peering.kernel.snapshot;
		const rule = ruleSet.workspaces.get(workspace);
		const resolved = resolveModel(ruleSet, model);
		const inference = readInference(Buffer.from(JSON.stringify({model, prompt: prompt ?? ''})));
		if (rule === undefined || resolved === undefined || inference.kind === 'failed') {
			return {kind: 'none', reason: rule === undefined ? 'unauthorized' : 'unknown-model', outcome: 'not-run'};
		}

		const {prefixes, inputTokens, outputTokens} = inference.value;
		const adapter = resolved.adapter === undefined ? '' : `+${resolved.adapter}`;
		const choice = fleet.explain({
			model: `${resolved.rule.name}@${resolved.version}${adapter}`,
			zone: peering.machine.zone,
			region: peering.machine.region,
			inputTokens,
			outputTokens,
			prefixes,
			known: {hints: [], homeHitRate: 0},
			excluded: new Set(),
		});
		return choice.kind === 'chosen' ? {...choice, replica: choice.replica.id} : choice;
	}
}

function readJson(body: unknown): unknown {
	try {
		return JSON.parse(Buffer.isBuffer(body) ? body.toString('utf8') : '');
	} catch {
		return undefined;
	}
}
