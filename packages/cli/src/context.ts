/** Dependencies and exit codes of the commands. */

/** Exit codes of `mimosamount`. */
export const exitCodes = {
	done: 0,
	/** Rejected or failed; nothing was changed unless a message says so. */
	failed: 1,
	/** Invalid usage, or findings in a file; nothing was changed. */
	usage: 2,
	/** The rules were changed concurrently; nothing was changed. */
	conflict: 3,
	/** The platform or the entry cannot be reached; nothing was changed. */
	unreachable: 4,
	/** A change was sent, and whether it took effect could not be determined. */
	unknown: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** System dependencies of a command, replaced in tests. */
export type CliContext = {
	/** Writes results to standard output. */
	readonly writeStdout: (text: string) => void;
	/** Writes messages to standard error. */
	readonly writeStderr: (text: string) => void;
	/** Content of a file. Throws when it cannot be read. */
	readonly readFile: (path: string) => Uint8Array;
	/** Time in milliseconds since the epoch. */
	readonly now: () => number;
	/** Creates a unique write id. */
	readonly createId: () => string;
	/** Resolves after this many milliseconds. */
	readonly delay: (ms: number) => Promise<void>;
	/** Version of the program. */
	readonly version: string;
};

/** Error that ends a command with a message and an exit code. Caught by `runCli`. */
export class CommandError extends Error {
	static create(exitCode: ExitCode, message: string): CommandError {
		return new CommandError(exitCode, message);
	}

	readonly exitCode: ExitCode;

	private constructor(exitCode: ExitCode, message: string) {
		super(message);
		this.name = 'CommandError';
		this.exitCode = exitCode;
	}
}

/** Writes a value as indented JSON to standard output. */
export function printJson(context: CliContext, value: unknown): void {
	context.writeStdout(`${JSON.stringify(value, undefined, '\t')}\n`);
}
