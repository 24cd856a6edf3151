/* eslint camelcase: "off", no-await-in-loop: "off", no-unmodified-loop-condition: "off", no-void: "off", unicorn/no-process-exit: "off", unicorn/prevent-abbreviations: "off" -- names of the platform and the usual short ones; steps that follow one another; values that other tasks change; the end of a case */
/** Small stand-ins for the platform's store, replicas and clients, and a start of the project's programs as the platform starts them. */
import {Buffer} from 'node:buffer';
import {fork, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

export const root = path.resolve(import.meta.dirname, '../..');

/** Loopback network of this run, so that several runs do not meet. */
export const network = `127.${20 + (process.pid % 100)}.${1 + (Math.floor(process.pid / 100) % 250)}`;

/** Writes what is seen to `record.txt` and to standard output. */
export class Record {
	constructor(file) {
		this.file = file;
		this.startedAt = performance.now();
		writeFileSync(file, '');
	}

	note(text) {
		const line = `${((performance.now() - this.startedAt) / 1000).toFixed(3)} s  ${text}\n`;
		appendFileSync(this.file, line);
		process.stdout.write(line);
	}
}

/** The platform's store: objects by kind, lists, watches and revisions, as far as the programs use them. */
export class Store {
	constructor() {
		this.kinds = new Map();
		this.history = [];
		this.wakers = new Set();
		/** Returns what to do with a call: `undefined` to answer it, or a function that takes the request and the response. */
		this.intercept = () => undefined;
		this.server = createServer((request, res) => {
			void this.#serve(request, res);
		});
	}

	async listen(host) {
		this.server.listen(0, host);
		await once(this.server, 'listening');
		this.address = `${host}:${this.server.address().port}`;
	}

	put(kind, name, spec) {
		this.revision += 1;
		const object = {
			metadata: {
				name, revision: this.revision, created: 0, finalizers: [], deleting: false,
			}, spec, status: {},
		};
		this.objects(kind).set(name, object);
		this.#change({kind, object, removed: false});
	}

	remove(kind, name) {
		const object = this.objects(kind).get(name);
		this.objects(kind).delete(name);
		this.revision += 1;
		this.#change({kind, object: {...object, metadata: {...object.metadata, revision: this.revision}}, removed: true});
	}

	objects(kind) {
		if (!this.kinds.has(kind)) {
			this.kinds.set(kind, new Map());
		}

		return this.kinds.get(kind);
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}

	#change(change) {
		this.history.push(change);
		for (const wake of this.wakers) {
			wake();
		}
	}

	async #serve(request, res) {
		const special = this.intercept(request);
		if (special !== undefined) {
			special(request, res);
			return;
		}

		const url = new URL(request.url, 'http://store.example');
		const kind = url.pathname.split('/')[3];
		const watch = url.searchParams.get('watch');
		res.setHeader('Content-Type', 'application/json');
		if (watch === null) {
			const after = url.searchParams.get('after') ?? '';
			const items = [...this.objects(kind).values()].filter(({metadata}) => metadata.name > after).toSorted((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
			res.end(JSON.stringify({items: items.slice(0, 500), has_more: items.length > 500, at: this.revision}));
			return;
		}

		const until = performance.now() + Number(url.searchParams.get('wait_ms') ?? 0);
		for (;;) {
			const events = this.history.filter(change => change.kind === kind && change.object.metadata.revision > Number(watch));
			const leftMs = until - performance.now();
			if (events.length > 0 || leftMs <= 0 || res.destroyed) {
				res.end(JSON.stringify({events: events.map(({object, removed}) => ({object, removed})), at: this.revision}));
				return;
			}

			await new Promise(resolve => {
				const timer = setTimeout(resolve, leftMs);
				const wake = () => {
					clearTimeout(timer);
					this.wakers.delete(wake);
					resolve();
				};

				this.wakers.add(wake);
			});
		}
	}

	revision = 1;
}

/** A small configuration: fields of its routes, and the keys of tenants if there are any. */
export function createConfig(version, routes, {services, tenants, maxBodyBytes = 4_194_304} = {}) {
	return {
		version,
		routes: routes.map(route => ({
			hostname: 'one.example', timeout_ms: 8000, target_latency_ms: 400, max_attempts: 2, priority: 1, public: tenants === undefined, ...route,
		})),
		services,
		limits: {
			max_header_bytes: 16_384, max_body_bytes: maxBodyBytes, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		...(tenants === undefined ? {} : {tenants}),
	};
}

export const bounds = {
	seed_lag_s: 3,
	reuse_after_s: 2,
	contact_ms: 3000,
	ack_timeout_ms: 4000,
	catch_up_s: 4,
	drain_ms: 2000,
	grace_period_s: 8,
	loss_slack_ms: 200,
	config_apply_ms: 2000,
	rollback_slack_ms: 250,
	outer_ms: 5000,
	strict_revocation: true,
	revoke_ms: 5000,
	retry_budget_ratio: 0.2,
	retry_window_s: 10,
	budget_slack: 94,
	recovery_s: 12,
	event_delay_ms: 120,
	retry_after_s: 0,
	stall_ms: 1500,
	fencing_enforced: false,
};

/** One of the two programs as a process, started with the command of the deploy file. */
export class Program {
	/** @param settings - Fields of the settings file beside the common ones. */
	constructor(name, program, heapMb, settings) {
		this.name = name;
		this.folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
		this.file = path.join(this.folder, 'boot.json');
		this.log = [];
		this.command = [`--max-old-space-size=${heapMb}`, `target/${program}.js`];
		this.settings = settings;
	}

	start(isFirstStart = true) {
		writeFileSync(this.file, JSON.stringify({node_name: this.name, bootstrap: isFirstStart, ...this.settings}));
		const {PATH, HOME, LANG} = process.env;
		this.child = spawn(process.execPath, this.command, {
			cwd: root, env: {
				PATH, HOME, LANG, MIMOSAMOUNT_NODE_FILE: this.file,
			}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		this.end = undefined;
		const {child} = this;
		child.once('exit', (code, signal) => {
			this.end = {code, signal};
		});
		for (const stream of [child.stdout, child.stderr]) {
			stream.setEncoding('utf8').on('data', text => {
				this.log.push(text);
			});
		}
	}

	get pid() {
		return this.child.pid;
	}

	signal(signal) {
		if (this.end === undefined) {
			this.child.kill(signal);
		}
	}

	async close() {
		if (this.end === undefined) {
			const ended = once(this.child, 'exit');
			this.child.kill('SIGCONT');
			this.child.kill('SIGKILL');
			await ended;
		}

		rmSync(this.folder, {recursive: true, force: true});
	}

	/** How it has ended by itself, or the memory that it uses. */
	describe() {
		const fatal = /FATAL ERROR.*/v.exec(this.log.join(''))?.[0] ?? '';
		return this.end === undefined ? `the entry runs, ${JSON.stringify(this.memoryMb())} MB` : `the entry has ended by itself: ${JSON.stringify(this.end)} ${fatal}`;
	}

	/** Present and highest resident memory, in MB; undefined if the process has ended. */
	memoryMb() {
		try {
			const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
			return {now: Math.round(/VmRSS:\s+(\d+)/v.exec(status)[1] / 1024), peak: Math.round(/VmHWM:\s+(\d+)/v.exec(status)[1] / 1024)};
		} catch {
			return undefined;
		}
	}
}

/** A replica as a process, registered in the store while it runs. Without its restart it stays away after a crash. */
export class Replica {
	/** @param onEvent - Called with what arrives, runs and ends at it. */
	constructor({store, service, index, slots = 8, restartMs, onEvent = () => undefined}) {
		Object.assign(this, {
			store, service, index, slots, restartMs, onEvent, host: `${network}.${100 + index}`, port: 0, incarnation: 0, isClosed: false, onCrash: () => undefined,
		});
	}

	get id() {
		return `i-${this.service}-${this.index}-${this.incarnation}`;
	}

	async start() {
		this.incarnation += 1;
		const {id, host, port, slots} = this;
		const child = fork(path.join(import.meta.dirname, 'replica.mjs'), [JSON.stringify({
			host, id, port, slots,
		})]);
		this.child = child;
		child.once('exit', () => {
			this.#handleExit(id);
		});
		await new Promise(resolve => {
			child.on('message', event => {
				if (event.kind === 'listening') {
					this.port = event.port;
					resolve();
				} else {
					this.onEvent(event);
				}
			});
			child.once('exit', resolve);
		});
		this.store.put('servers', id, {
			service: this.service, address: `${host}:${this.port}`, zone: 'a', version: 1, batch_slots: slots, state: 'ready', warmup_remaining_ms: 0, sequence: 0, born: Date.now(),
		});
	}

	/** Ends the process as a crash does. */
	crash() {
		this.child.kill('SIGKILL');
	}

	close() {
		this.isClosed = true;
		if (this.child.exitCode === null && this.child.signalCode === null) {
			this.child.kill('SIGKILL');
		}
	}

	#handleExit(id) {
		if (this.isClosed) {
			return;
		}

		this.onCrash();

		// The registration of a replica that crashed is removed after some silence.
		setTimeout(() => {
			if (!this.isClosed && this.store.objects('servers').has(id)) {
				this.store.remove('servers', id);
			}
		}, 1500);
		if (this.restartMs !== undefined) {
			setTimeout(() => {
				if (!this.isClosed) {
					void this.start();
				}
			}, this.restartMs);
		}
	}
}

/** A client's connection that is kept for several requests, one at a time. */
export class Client {
	constructor({ip, port}) {
		this.socket = connect({host: ip, port, noDelay: true});
		this.socket.setEncoding('latin1').on('error', () => undefined).on('data', text => {
			this.received += text;
			this.#check();
		}).once('close', () => {
			this.isClosed = true;
			this.#check();
		});
	}

	/** Sends a request and settles with its answer, or with status 0 if the connection closes or the client gives up before its end. */
	async request({
		method = 'POST', path: target, id, deadlineMs, headers = '', body = '',
	}) {
		const sentAt = performance.now();
		this.received = '';
		const own = `Host: one.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n`;
		this.socket.write(`${method} ${target} HTTP/1.1\r\n${own}${headers}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`);
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#settle('given up');
			}, deadlineMs);
			this.settle = (end, status, text) => {
				clearTimeout(timer);
				this.settle = undefined;
				resolve({
					id, end, status, body: text, ms: Math.round(performance.now() - sentAt),
				});
			};

			this.#check();
		});
	}

	close() {
		this.socket.destroy();
	}

	#settle(end) {
		const [head, body = ''] = splitOnce(this.received, '\r\n\r\n');
		this.settle?.(end, end === 'complete' ? statusOf(head) : 0, body);
	}

	#check() {
		const [head, body] = splitOnce(this.received, '\r\n\r\n');
		const length = /^content-length: (\d+)/imv.exec(head)?.[1];
		const isComplete = body !== undefined && (length === undefined ? body.endsWith('0\r\n\r\n') && /^transfer-encoding: chunked/imv.test(head) : body.length >= Number(length));
		if (isComplete) {
			this.#settle('complete');
		} else if (this.isClosed) {
			this.#settle('closed');
		}
	}

	received = '';
}

function splitOnce(text, separator) {
	const at = text.indexOf(separator);
	return at === -1 ? [text, undefined] : [text.slice(0, at), text.slice(at + separator.length)];
}

function statusOf(head) {
	return Number(/^HTTP\/1\.1 (\d{3})/v.exec(head)?.[1] ?? 0);
}

/**
 * Plays a case: runs it, closes everything and ends this process with 0 if the rule held, 1 if it was broken and 2 if the case could
 * not run.
 */
export async function play(folder, run) {
	const record = new Record(path.join(folder, 'record.txt'));
	const hasTrouble = process.env.TROUBLE !== '0';
	const closers = [];
	record.note(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
	let code = 2;
	const guard = setTimeout(() => {
		record.note('could not run: 110 s are over');
		void end();
	}, 110_000);
	const end = async () => {
		clearTimeout(guard);
		await Promise.all(closers.map(async close => close()));
		process.exit(code);
	};

	try {
		const isBroken = await run({
			record, hasTrouble, onEnd(close) {
				closers.push(close);
			},
		});
		code = isBroken ? 1 : 0;
		record.note(isBroken ? 'RULE BROKEN' : 'rule held');
	} catch (error) {
		record.note(`could not run: ${error.stack}`);
	}

	await end();
}

/** Starts a store, replicas and one entry, and waits until the entry has been in touch for `contact_ms`. */
export async function deploy({record, onEnd}, {routes, services, memoryMb, openFiles, onEvent}) {
	const store = new Store();
	await store.listen('127.0.0.1');
	onEnd(() => {
		store.close();
	});
	store.put('config', 'main', createConfig(5, routes, {services: Object.keys(services).map(name => ({name, max_connections: 188}))}));
	const replicas = Object.entries(services).flatMap(([service, list], offset) => list.map((options, index) => new Replica({
		store, service, index: (offset * 20) + index + 1, onEvent, ...options,
	})));
	for (const replica of replicas) {
		await replica.start();
		onEnd(() => {
			replica.close();
		});
	}

	const entry = createEntry({store, memoryMb, openFiles});
	onEnd(async () => entry.close());
	entry.start();
	if (!await entry.ready()) {
		throw new Error(`the entry did not start: ${entry.log.join('')}`);
	}

	await sleep(bounds.contact_ms + 200);
	record.note(`entry, process ${entry.pid}, has been ready for contact_ms, ${JSON.stringify(entry.memoryMb())} MB`);
	return {store, replicas, entry};
}

/** An entry of a small deployment on a loopback address of its own. */
export function createEntry({index = 1, store, seeds = [], memoryMb = 350, openFiles = 4100, zone = 'a'}) {
	const ip = `${network}.${index}`;
	const entry = new Program(`edge-${zone}-${index}`, 'entry', 160, {
		role: 'entry', machine_class: 'edge', serves: ['edge', 'control_plane'], ip, zone, region: 'r', zones: {[zone]: 'r'},
		listen: {frontend: `${ip}:18227`, ready: `${ip}:18220`, control_plane: `${ip}:18229`},
		port_range: [18_340, 18_355], seed_nodes: seeds,
		limits: {
			cpu_quota: 0.513, cpu_cores: 1, memory_mb: memoryMb, max_open_files: openFiles, bandwidth_mbps: 1000, disk_mb: 0,
		},
		bounds, platform: {
			address: store.address, form: 'objects', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1_048_576, ttl_min_ms: 1000,
		},
	});
	entry.ip = ip;
	entry.port = 18_227;
	entry.peerAddress = `${ip}:18229`;
	entry.isReady = async () => {
		const {status} = await call({
			host: ip, port: 18_220, text: 'GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n', timeoutMs: 1000,
		});
		return status === 200;
	};

	entry.ready = async () => {
		const until = performance.now() + 15_000;
		while (performance.now() < until && entry.end === undefined) {
			if (await entry.isReady()) {
				return true;
			}

			await sleep(50);
		}

		return false;
	};

	return entry;
}

/** Sends bytes on a new connection and reads one answer. */
export async function call({host, port, text, timeoutMs = 9000}) {
	return new Promise(resolve => {
		const socket = connect({host, port});
		let received = '';
		const finish = end => {
			const [head, ...rest] = received.split('\r\n\r\n');
			const status = Number(/^HTTP\/1\.1 (\d{3})/v.exec(head)?.[1] ?? 0);
			socket.destroy();
			clearTimeout(timer);
			resolve({
				status, head, body: rest.join('\r\n\r\n'), end,
			});
		};

		const timer = setTimeout(() => {
			finish('timeout');
		}, timeoutMs);
		socket.on('error', error => {
			finish(error.code);
		});
		socket.on('close', () => {
			finish('closed');
		});
		socket.on('data', data => {
			received += data.toString('latin1');
			const [head, body] = received.split('\r\n\r\n');
			const length = /content-length: (\d+)/iv.exec(head)?.[1];
			if ((body !== undefined && length !== undefined && Buffer.byteLength(received, 'latin1') >= head.length + 4 + Number(length)) || received.endsWith('\r\n0\r\n\r\n')) {
				finish('complete');
			}
		});
		socket.write(text, 'latin1');
	});
}
