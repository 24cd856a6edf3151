/** Texts of exceptions for log lines. */

/** Longest text of an exception, in characters. */
const MAX_LENGTH = 600;

/** The stack of an exception, or its text if it has none; cut at a fixed length. */
export function describeError(error: unknown): string {
	return (error instanceof Error ? (error.stack ?? error.message) : String(error)).slice(0, MAX_LENGTH);
}
