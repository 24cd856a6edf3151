/**
 * A machine: an instance of the fleet that runs one process of this system. The directory is
 * transferred as text with one machine on each line, so that a change costs one line.
 */
import {z} from 'zod';
import {InputError} from '#core';

const machineSchema = z.object({
	id: z.string().min(1).max(128),
	role: z.enum(['entry', 'endpoint']),
	kind: z.enum(['entry', 'model', 'service']),
	address: z.string().max(64),
	zone: z.string().max(128),
	region: z.string().max(128),
	group: z.string().max(128).optional(),
	ranks: z.array(z.number().int().nonnegative()).max(1024).optional(),
	models: z.array(z.string().max(256)).max(256).optional(),
	service: z.string().max(128).optional(),
	state: z.enum(['live', 'leaving']),
});

/** A machine as described by the platform's list or by its own announcement. */
export type Machine = Readonly<z.infer<typeof machineSchema>>;

/** Formats machines as text, one JSON object on each line, sorted by id. */
export function formatMachines(machines: Iterable<Machine>): string {
	return [...machines]
		.toSorted((a, b) => (a.id < b.id ? -1 : 1))
		.map(machine => JSON.stringify(machineSchema.parse(machine)))
		.join('\n');
}

/**
 * Parses a machine.
 *
 * @throws InputError if the value is not a valid machine.
 */
export function parseMachine(value: unknown): Machine {
	const parsed = machineSchema.safeParse(value);
	if (!parsed.success) {
		throw new InputError(`machine: ${parsed.error.issues[0]?.path.join('.') ?? ''} ${parsed.error.issues[0]?.message ?? ''}`);
	}

	return parsed.data;
}

/**
 * Parses machines from text as written by `formatMachines`.
 *
 * @throws InputError if a line is not a valid machine.
 */
export function parseMachines(text: string): readonly Machine[] {
	return text === '' ? [] : text.split('\n').map(line => parseJsonLine(line));
}

function parseJsonLine(line: string): Machine {
	let value: unknown;
	try {
		value = JSON.parse(line);
	} catch {
		throw new InputError('machine: line is not JSON');
	}

	return parseMachine(value);
}
