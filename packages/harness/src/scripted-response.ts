/** The response of an endpoint whose chunks a test delivers, a read of the socket at a time. */
import {IncomingMessage} from 'node:http';
import {Socket} from 'node:net';

export class ScriptedResponse {
	static create(headers: Readonly<Record<string, string>> = {}): ScriptedResponse {
		return new ScriptedResponse(headers);
	}

	readonly socket = new Socket();
	readonly res = new IncomingMessage(this.socket);

	private constructor(headers: Readonly<Record<string, string>>) {
		Object.assign(this.res.headers, headers);
		// As the socket of a connection does.
		this.socket.resume();
	}

	/** Delivers the chunks of one read, unless the socket is paused. Returns whether it did. */
	read(chunks: Iterable<Uint8Array>): boolean {
		if (this.socket.isPaused()) {
			return false;
		}

		for (const chunk of chunks) {
			this.res.push(chunk);
		}

		return true;
	}

	/** Ends the response as a complete one; Node takes the socket from it then. */
	end(): void {
		this.res.once('end', () => {
			Reflect.set(this.res, 'socket', null);
		});
		this.res.complete = true;
		this.res.push(null);
	}
}
