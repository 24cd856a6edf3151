/** Memory and descriptors of a process as its machine counts them, read from the proc file system. */
import {
	readdirSync, readFileSync, readlinkSync,
} from 'node:fs';

/** Interval between two samples, in ms. */
const SAMPLE_INTERVAL_MS = 100;

const KB_PER_MB = 1024;
const BYTES_PER_MB = 1024 * 1024;

/** State of a listening socket in `/proc/net/tcp`; its queue holds connections, not bytes. */
const LISTEN_STATE = '0A';

/** The highest use of a process so far; infinite if it has ended. */
export type ProcessPeak = {
	/** Resident memory together with received bytes that the process has not read, in MB. */
	readonly memoryMb: number;
	/** Resident memory alone, in MB. */
	readonly residentMb: number;
	/** Received bytes that the process has not read, in MB. */
	readonly unreadMb: number;
	readonly descriptors: number;
};

export class ProcessUsage {
	/** Samples the use of a process until the signal aborts, and passes on the peak after each sample. */
	static create(pid: number, signal: AbortSignal, onSample: (peak: ProcessPeak) => void): ProcessUsage {
		return new ProcessUsage(pid, signal, onSample);
	}

	#memoryMb = 0;
	#residentMb = 0;
	#unreadMb = 0;
	#descriptors = 0;
	readonly #pid: number;

	private constructor(pid: number, signal: AbortSignal, onSample: (peak: ProcessPeak) => void) {
		this.#pid = pid;
		const timer = setInterval(() => {
			onSample(this.peak);
		}, SAMPLE_INTERVAL_MS);
		signal.addEventListener('abort', () => {
			clearInterval(timer);
		}, {once: true});
	}

	get peak(): ProcessPeak {
		this.#sample();
		return {
			memoryMb: this.#memoryMb, residentMb: this.#residentMb, unreadMb: this.#unreadMb, descriptors: this.#descriptors,
		};
	}

	#sample(): void {
		try {
			const descriptors = readdirSync(`/proc/${this.#pid}/fd`);
			const unreadMb = this.#readUnreadBytes(descriptors) / BYTES_PER_MB;
			this.#descriptors = Math.max(this.#descriptors, descriptors.length);
			this.#unreadMb = Math.max(this.#unreadMb, unreadMb);
			// The kernel keeps the peak of the resident memory, which a sample can miss.
			this.#residentMb = this.#readMb('VmHWM');
			this.#memoryMb = Math.max(this.#memoryMb, this.#residentMb, this.#readMb('VmRSS') + unreadMb);
		} catch {
			this.#memoryMb = Infinity;
			this.#descriptors = Infinity;
		}
	}

	#readMb(field: 'VmHWM' | 'VmRSS'): number {
		const status = readFileSync(`/proc/${this.#pid}/status`, 'utf8');
		return Number(new RegExp(String.raw`^${field}:\s+(?<kb>\d+) kB$`, 'mu').exec(status)?.groups?.kb) / KB_PER_MB;
	}

	/** Bytes in the receive queues of the process's sockets, and of connections to it that it has not accepted. */
	#readUnreadBytes(descriptors: readonly string[]): number {
		const inodes = new Set(descriptors.map(descriptor => this.#socketInode(descriptor)));
		const sockets = readTcpSockets();
		const listening = new Set(sockets.filter(({state, inode}) => state === LISTEN_STATE && inodes.has(inode)).map(({local}) => local));
		return sockets
			.filter(({state, inode, local}) => state !== LISTEN_STATE && (inodes.has(inode) || (inode === '0' && listening.has(local))))
			.reduce((sum, {unreadBytes}) => sum + unreadBytes, 0);
	}

	#socketInode(descriptor: string): string | undefined {
		try {
			return /^socket:\[(?<inode>\d+)\]$/u.exec(readlinkSync(`/proc/${this.#pid}/fd/${descriptor}`))?.groups?.inode;
		} catch {
			// It was closed meanwhile.
			return undefined;
		}
	}
}

/** Columns of `/proc/net/tcp`; `queues` holds the bytes to send and the bytes received, in hex. */
const COLUMNS = {
	local: 1, state: 3, queues: 4, inode: 9,
} as const;

type TcpSocket = {readonly local: string; readonly state: string; readonly unreadBytes: number; readonly inode: string};

function readTcpSockets(): readonly TcpSocket[] {
	return readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1, -1).map(line => {
		const columns = line.trim().split(/\s+/u);
		return {
			local: columns[COLUMNS.local]!, state: columns[COLUMNS.state]!, unreadBytes: Number.parseInt(columns[COLUMNS.queues]!.split(':')[1]!, 16), inode: columns[COLUMNS.inode]!,
		};
	});
}
