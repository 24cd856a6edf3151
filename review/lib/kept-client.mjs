/* eslint-disable require-unicode-regexp -- names of the wire; the rules that xo.config.js switches off for TypeScript */
/** A client that keeps its connection: one request at a time, the next after the answer. */
import {connect} from 'node:net';
import {HOST, KEY} from './deployment.mjs';

export class KeptClient {
	/** Opens the connection. `onEnd` is called when it ends, with the request that waits for an answer. */
	constructor({host, port}, onEnd) {
		this.#socket = connect({host, port, noDelay: true});
		this.#socket.setEncoding('latin1');
		this.#socket.on('data', text => {
			this.#received += text;
			this.#readAnswer();
		});
		this.#socket.on('error', () => undefined);
		this.#socket.once('close', () => {
			this.isOpen = false;
			onEnd(this.#waiting);
			this.#waiting?.resolve({status: 0});
		});
	}

	isOpen = true;
	/** Answers received on this connection. */
	answers = 0;
	#socket;
	#received = '';
	#waiting;

	/** Sends a request; settles with its answer, or with status 0 when the connection ends. */
	async request({method = 'POST', path, id, deadlineMs = 2500, body = ''}) {
		return new Promise(resolve => {
			this.#waiting = {
				id, sentAt: Date.now(), isKept: this.answers > 0, resolve,
			};
			this.#socket.write([
				`${method} ${path} HTTP/1.1`, `Host: ${HOST}`, `X-Request-Id: ${id}`, `X-Deadline-Ms: ${deadlineMs}`, `Authorization: Bearer ${KEY}`, `Content-Length: ${body.length}`, '', body,
			].join('\r\n'));
		});
	}

	close() {
		this.#socket.destroy();
	}

	#readAnswer() {
		const end = this.#received.indexOf('\r\n\r\n');
		if (end === -1) {
			return;
		}

		const head = this.#received.slice(0, end);
		const length = Number(/content-length: (\d+)/iu.exec(head)?.[1] ?? 0);
		if (this.#received.length < end + 4 + length) {
			return;
		}

		const body = this.#received.slice(end + 4, end + 4 + length);
		this.#received = this.#received.slice(end + 4 + length);
		const waiting = this.#waiting;
		this.#waiting = undefined;
		this.answers += 1;
		waiting?.resolve({status: Number(/^HTTP\/1\.1 (\d{3})/u.exec(head)?.[1] ?? 0), head, body});
	}
}
