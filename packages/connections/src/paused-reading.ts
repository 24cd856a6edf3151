/** Stops and resumes the reading of a message's body at its connection. */
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

/** Who stops the reading: the pacing of what is received, or a receiver that is slower. */
export type PauseReason = 'pacing' | 'receiver';

/** The connection is kept, since Node takes it from the message at its end. */
type Pause = {readonly socket: Socket; readonly reasons: Set<PauseReason>};

const pauses = new WeakMap<IncomingMessage, Pause>();

/**
 * Stops reading from the connection until `readOn` was called for each reason. Chunks that were parsed already still arrive: a paused
 * message would buffer each by itself.
 */
export function pauseReading(message: IncomingMessage, reason: PauseReason = 'pacing'): void {
	if (message.readableEnded) {
		return;
	}

	const pause = pauses.get(message) ?? {socket: message.socket, reasons: new Set()};
	pause.reasons.add(reason);
	pauses.set(message, pause);
	// Node reads on whenever the message asks for more.
	message._read = () => undefined;
	pause.socket.pause();
}

/** Reads on from a connection that was paused, unless it is paused for another reason. Called at the latest when the message ends, since its connection may serve another one. */
export function readOn(message: IncomingMessage, reason: PauseReason = 'pacing'): void {
	const pause = pauses.get(message);
	pause?.reasons.delete(reason);
	if (pause?.reasons.size === 0) {
		pauses.delete(message);
		Reflect.deleteProperty(message, '_read');
		pause.socket.resume();
	}
}
