/**
 * Bounds the time that connections wait in the listen backlog while it does not empty: they are accepted in the order of their
 * arrival, so those after a connection of the entry's own have arrived after that one was opened. Several are under way at once:
 * the bound is then as old as their interval, and not as the time that the last one waited itself.
 */
import {connect, type Socket} from 'node:net';
import type {ReadDelay} from './read-delay.js';
import type {Address} from '#core';
import type {Instant} from '#dispatch';

/** The backlog is probed once it may have held connections for this long, in ms. */
const MIN_BACKLOG_AGE_MS = 20;

/** Shortest time between the starts of two probes, in ms: with the marks of polls, the bound is less than a quarter of a second old. Each probe delays the connections after it. */
const PROBE_INTERVAL_MS = 150;

/** Most probes that wait to be accepted. */
const MAX_PROBES = 50;

/** Time after which a probe that does not connect is given up, in ms: its opening packet was dropped, since the backlog is full. */
const CONNECT_TIMEOUT_MS = 1000;

type Probe = {readonly startedAt: Instant; readonly socket: Socket};

export class BacklogProbe {
	/** @param listener - Address at which the connections arrive. */
	static create(listener: Address, readDelay: ReadDelay, now: () => Instant): BacklogProbe {
		return new BacklogProbe(listener, readDelay, now);
	}

	/** The probe whose own address is not known yet. */
	#connecting: Probe | undefined;
	/** Connections by their remote address that were accepted meanwhile. */
	readonly #accepted = new Map<string, Socket>();
	/** Connected probes that were not accepted, by their own address. */
	readonly #waiting = new Map<string, Probe>();
	#lastStartedAtMs = Number.NEGATIVE_INFINITY;
	readonly #listener: Address;
	readonly #readDelay: ReadDelay;
	readonly #now: () => Instant;

	private constructor(listener: Address, readDelay: ReadDelay, now: () => Instant) {
		this.#listener = listener;
		this.#readDelay = readDelay;
		this.#now = now;
	}

	/** Registers a connection when it is accepted, and closes it if it is a probe. */
	recordAccept(connection: Socket): void {
		const address = remoteAddressOf(connection);
		const probe = this.#waiting.get(address);
		this.#waiting.delete(address);
		this.#readDelay.recordAccept(connection);
		if (probe !== undefined) {
			this.#finish(probe, connection);
		} else if (this.#connecting !== undefined) {
			this.#accepted.set(address, connection);
		}

		if (this.#readDelay.backlogAgeMs() > MIN_BACKLOG_AGE_MS && this.#mayOpen()) {
			this.#open();
		}
	}

	#mayOpen(): boolean {
		return this.#connecting === undefined && this.#waiting.size < MAX_PROBES && this.#now().monotonicMs - this.#lastStartedAtMs >= PROBE_INTERVAL_MS;
	}

	#open(): void {
		const probe: Probe = {startedAt: this.#now(), socket: connect(this.#listener)};
		this.#lastStartedAtMs = probe.startedAt.monotonicMs;
		this.#connecting = probe;
		probe.socket.on('error', () => undefined);
		probe.socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
			probe.socket.destroy();
		});
		probe.socket.once('connect', () => {
			this.#handleConnect(probe);
		});
		probe.socket.once('close', () => {
			if (this.#connecting === probe) {
				this.#connecting = undefined;
				this.#accepted.clear();
			}
		});
	}

	#handleConnect(probe: Probe): void {
		const address = localAddressOf(probe.socket);
		const connection = this.#accepted.get(address);
		this.#connecting = undefined;
		this.#accepted.clear();
		probe.socket.setTimeout(0);
		if (connection === undefined) {
			this.#waiting.set(address, probe);
			probe.socket.once('close', () => {
				this.#waiting.delete(address);
			});
		} else {
			this.#finish(probe, connection);
		}
	}

	#finish(probe: Probe, connection: Socket): void {
		this.#readDelay.recordBacklogProbe(probe.startedAt);
		connection.destroy();
		probe.socket.destroy();
	}
}

function remoteAddressOf({remoteAddress, remotePort}: Socket): string {
	return `${remoteAddress}:${remotePort}`;
}

function localAddressOf({localAddress, localPort}: Socket): string {
	return `${localAddress}:${localPort}`;
}
