/** What a command needs from outside, and what it gives back. */

/** Exit codes of `mimosamount`. */
export const exitCodes = {
	done: 0,
	/** Refused or failed; nothing changed unless a message says so. */
	failed: 1,
	/** Wrong usage, or findings in a file; nothing changed. */
	usage: 2,
	/** Somebody else changed the rules; nothing changed. */
	conflict: 3,
	/** The platform or the entry cannot be reached; nothing changed. */
	unreachable: 4,
	/** A change was sent, and whether it took effect could not be determined. */
	unknown: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The surroundings of the command, replaced in tests. */
export type CliContext = {
	/** Writes results. */
	readonly print: (text: string) => void;
	/** Writes messages. */
	readonly tell: (text: string) => void;
	/** Content of a file. Throws when it cannot be read. */
	readonly readFile: (path: string) => Uint8Array;
	/** Time in milliseconds since the epoch. */
	readonly now: () => number;
	/** A new unique id for a write. */
	readonly createId: () => string;
	/** Resolves after this many milliseconds. */
	readonly delay: (ms: number) => Promise<void>;
	/** Version of the program. */
	readonly version: string;
};

/** Ends a command with a message and an exit code. Thrown by helpers, caught by `runCli`. */
export class CommandEnd extends Error {
	static create(exitCode: ExitCode, message: string): CommandEnd {
		return new CommandEnd(exitCode, message);
	}

	readonly exitCode: ExitCode;

	private constructor(exitCode: ExitCode, message: string) {
		super(message);
		this.name = 'CommandEnd';
		this.exitCode = exitCode;
	}
}

/** Writes a value as indented JSON. */
export function printJson(context: CliContext, value: unknown): void {
	context.print(`${JSON.stringify(value, undefined, '\t')}\n`);
}
