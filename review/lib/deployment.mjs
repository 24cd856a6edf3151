/* eslint-disable camelcase, no-await-in-loop, require-unicode-regexp, unicorn/no-process-exit, unicorn/prevent-abbreviations -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/** A small deployment on loopback addresses: the programs of the deploy file as processes, and what they are given. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer, connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Store} from './store.mjs';

const repository = path.resolve(import.meta.dirname, '../..');

/** Bounds of the sheet of `sites/bantay-cells.toml`. */
export const BOUNDS = {
	seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_period_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, outer_ms: 5000, strict_revocation: true, revoke_ms: 5000, retry_budget_ratio: 0.2, retry_window_s: 10, budget_slack: 94, recovery_s: 12, event_delay_ms: 120, retry_after_s: 0, stall_ms: 1500, fencing_enforced: false,
};

export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';
export const HOST = 'ficu95.example';

/** Whether the disruption of a case happens; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

export async function wait(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Waits until a condition holds. Throws if it does not in time. */
export async function until(what, condition, timeoutMs = 20_000) {
	const end = Date.now() + timeoutMs;
	while (!await condition()) {
		if (Date.now() > end) {
			throw new Error(`timeout: ${what}`);
		}

		await wait(20);
	}
}

export class Deployment {
	/**
	 * @param folder - The folder of the case, in which `record.txt` is written.
	 * @param bounds - Bounds that differ from {@link BOUNDS}.
	 */
	static async create(folder, bounds = {}) {
		const deployment = new Deployment(folder);
		deployment.bounds = {...BOUNDS, ...bounds};
		const net = () => 1 + Math.floor(Math.random() * 250);
		deployment.#network = `127.${net()}.${net()}`;
		deployment.store = await Store.create(deployment.address(1));
		for (const name of ['frontend', 'ready', 'peers', 'agents']) {
			deployment.ports[name] = await freePort(deployment.address(2));
		}

		return deployment;
	}

	store;
	bounds;
	ports = {};
	processes = [];
	#network = '';
	#startedAt = Date.now();
	#recordFile;
	#settingsFolder = mkdtempSync(path.join(tmpdir(), 'review-'));

	constructor(folder) {
		this.#recordFile = path.join(folder, 'record.txt');
		writeFileSync(this.#recordFile, '');
	}

	/** Loopback address of machine N of this deployment. */
	address(machine) {
		return `${this.#network}.${machine}`;
	}

	/** Time since the start, in ms. */
	now() {
		return Date.now() - this.#startedAt;
	}

	record(text) {
		appendFileSync(this.#recordFile, `${(this.now() / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}

	/** Writes the configuration to the store. */
	configure(version, routes, services) {
		this.store.put('config', 'main', {
			version,
			routes,
			services,
			tenants: [{name: TENANT, priority: 1, api_keys: [KEY]}],
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 5000, idle_timeout_ms: 10_000,
			},
		});
	}

	/** Starts an entry on a machine. */
	startEntry(machine, seeds = []) {
		const ip = this.address(machine);
		return this.#start('entry', `edge-${machine}`, {
			machine_class: 'edge',
			serves: ['edge', 'control_plane'],
			...this.#common(ip, seeds),
			listen: {frontend: `${ip}:${this.ports.frontend}`, ready: `${ip}:${this.ports.ready}`, control_plane: `${ip}:${this.ports.peers}`},
		});
	}

	/** Starts the process beside a replica; `app` is the address of that replica, on the same machine. */
	startRank(machine, service, app) {
		const ip = this.address(machine);
		return this.#start('rank', `side-${machine}`, {
			machine_class: 'side', serves: ['side'], ...this.#common(ip, []), listen: {}, app, service,
		});
	}

	/** Settles when the entry says that it is ready. */
	async ready(machine) {
		await until(`edge-${machine} is ready`, async () => {
			try {
				const res = await fetch(`http://${this.address(machine)}:${this.ports.ready}/v1/readyz`, {signal: AbortSignal.timeout(500)});
				return res.status === 200;
			} catch {
				// It does not listen yet.
				return false;
			}
		});
	}

	/** Ends all processes that were started, and removes the settings. */
	async close() {
		await Promise.all(this.processes.map(async child => {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}));
		this.store.close();
		rmSync(this.#settingsFolder, {recursive: true, force: true});
	}

	#common(ip, seeds) {
		return {
			ip,
			zone: 'batangas',
			region: 'luzon-south',
			zones: {batangas: 'luzon-south'},
			port_range: [this.ports.agents, this.ports.agents],
			seed_nodes: seeds.map(seed => `${this.address(seed)}:${this.ports.peers}`),
			bootstrap: true,
			fault_domain_member: false,
			limits: {
				cpu_quota: 0.513, cpu_cores: 1, memory_mb: 350, max_open_files: 4100, bandwidth_mbps: 1000, disk_mb: 0,
			},
			data_dir: null,
			discovery: 'platform',
			entry_point: 'vip',
			heartbeat_ms: 1200,
			contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'experts'],
			fault_tolerance: {machine_failures: 2, zones: 0, region_failures: 0},
			bounds: this.bounds,
			platform: {
				address: this.store.address, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, ttl_min_ms: 1000,
			},
		};
	}

	#start(role, name, settings) {
		const file = path.join(this.#settingsFolder, `${name}.json`);
		writeFileSync(file, JSON.stringify({node_name: name, role, ...settings}));
		const [program, ...args] = commandOf(role);
		const child = spawn(program, args, {cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, MIMOSAMOUNT_NODE_FILE: file}, stdio: ['ignore', 'pipe', 'pipe']});
		child.log = '';
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				child.log = (child.log + text).slice(-2_000_000);
			});
		}

		this.record(`${name} starts, pid ${child.pid}`);
		child.once('exit', (code, signal) => {
			child.endedAt = this.now();
			this.record(`${name} ends, ${signal ?? `code ${code}`}`);
		});
		this.processes.push(child);
		return child;
	}
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, play, bounds) {
	const deployment = await Deployment.create(folder, bounds);
	let code = 2;
	try {
		const broken = await play(deployment);
		code = broken ? 1 : 0;
		deployment.record(broken ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
	} catch (error) {
		deployment.record(`RESULT: the case could not run: ${error.stack}`);
	}

	await deployment.close();
	process.stdout.write(`${['held', 'BROKEN', 'could not run'][code]}; see record.txt\n`);
	process.exit(code);
}

/** Sends the bytes of a request on a new connection and collects what comes back until it ends. */
export function call({host, port}, {method = 'POST', path: target, id, deadlineMs = 2500, headers = [], body = ''}) {
	const result = {
		id, text: '', sentAt: Date.now(), endedAt: undefined, error: undefined,
	};
	const socket = connect({host, port, noDelay: true});
	result.socket = socket;
	socket.setEncoding('latin1');
	socket.write([
		`${method} ${target} HTTP/1.1`, `Host: ${HOST}`, `X-Request-Id: ${id}`, `X-Deadline-Ms: ${deadlineMs}`, `Authorization: Bearer ${KEY}`, ...headers, 'Connection: close', `Content-Length: ${body.length}`, '', body,
	].join('\r\n'));
	result.done = new Promise(resolve => {
		socket.on('data', text => {
			result.text += text;
			result.lastAt = Date.now();
		});
		socket.on('error', error => {
			result.error = error.code;
		});
		socket.once('close', () => {
			result.endedAt = Date.now();
			resolve(result);
		});
		socket.setTimeout(deadlineMs + 3000, () => {
			result.error = 'no answer';
			socket.destroy();
		});
	});
	return result;
}

/** Status of an answer; 0 if there is none. */
export function statusOf({text}) {
	return Number(/^HTTP\/1\.1 (\d{3})/u.exec(text)?.[1] ?? 0);
}

/** Whether the body of an answer is complete by its framing. */
export function isComplete({text}) {
	const end = text.indexOf('\r\n\r\n');
	if (end === -1) {
		return false;
	}

	const head = text.slice(0, end).toLowerCase();
	const body = text.slice(end + 4);
	const length = /content-length: (\d+)/u.exec(head)?.[1];
	return length === undefined ? (!head.includes('transfer-encoding: chunked') || body.endsWith('0\r\n\r\n')) : body.length === Number(length);
}

/** The command of a role in the deploy file. */
function commandOf(role) {
	const text = readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /run = "(.*)"/u.exec(section)[1].split(' ');
}

async function freePort(host) {
	const server = createServer().listen(0, host);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}
