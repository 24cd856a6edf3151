/** Paces the chunks of one response of an endpoint. */
import type {IncomingMessage} from 'node:http';
import type {ChunkPacer} from './chunk-pacer.js';
import {pauseReading, readOn} from './paused-reading.js';

export class ResponseChunks {
	static create(res: IncomingMessage, pacer: ChunkPacer): ResponseChunks {
		return new ResponseChunks(res, pacer);
	}

	/**
	 * Notes that a chunk was read; the connection may not be read on for a while.
	 *
	 * @param parts - What counts as a chunk each: the chunk, and each event or comment in it.
	 */
	readonly take: (parts?: number) => void;
	/** Notes that the response has ended or is given up. Its connection may serve further requests. */
	readonly close: () => void;

	private constructor(res: IncomingMessage, pacer: ChunkPacer) {
		const share = pacer.open(() => {
			readOn(res);
		});
		this.take = parts => {
			if (!share.take(parts)) {
				pauseReading(res);
			}
		};

		this.close = () => {
			share.close();
			readOn(res);
		};
	}
}
