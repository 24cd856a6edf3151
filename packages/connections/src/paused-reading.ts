/** Stops and resumes the reading of a message's body at its connection. */
import type {IncomingMessage} from 'node:http';

/** Stops reading from the connection. A paused message would go on to buffer what was read already, each chunk by itself. */
export function pauseReading(message: IncomingMessage): void {
	// Node reads on whenever the message asks for more.
	message._read = () => undefined;
	message.socket.pause();
}

/** Reads on from a connection that was paused. */
export function readOn(message: IncomingMessage): void {
	if (Object.hasOwn(message, '_read')) {
		Reflect.deleteProperty(message, '_read');
		message.socket.resume();
	}
}
