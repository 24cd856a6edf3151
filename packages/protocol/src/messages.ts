/**
 * Messages between the system's own processes. Each kind has one schema. On the wire a
 * message is an array: the kind's number, then the fields in the order of the schema,
 * so that a load report stays near 40 bytes.
 */
import {z} from 'zod';
import {InputError} from '#core';

/** Version of the message set. A peer with another version is refused. */
export const PROTOCOL_VERSION = 1;

/** Largest size of one WebSocket message in bytes. */
export const MAX_MESSAGE_BYTES = 1024 * 1024;

/** Largest size of a caller's body in one `work` message, in bytes; leaves room for headers. */
export const MAX_WORK_BODY_BYTES = 900 * 1024;

const name = z.string().max(256);
const requestId = z.string().min(1).max(128);
const count = z.number().int().nonnegative();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'not bytes');
const headers = z.record(z.string().max(256), z.string().max(16_384));
const outcome = z.enum(['not-run', 'unknown']);

/** Load of a replica as it travels in reports and answers. */
const loadSchema = z.tuple([count, count, z.number().nonnegative(), z.number().nonnegative(), count, z.boolean()]).readonly();

/** Demand for a workspace: name, sequence, tokens/s asked for, tokens/s held, sequence that the held grant answered. */
const demandSchema = z.tuple([name, count, z.number().nonnegative(), z.number().nonnegative(), count]).readonly();

/** Grant for a workspace: name, sequence of the demand that it answers, tokens/s. */
const grantSchema = z.tuple([name, count, z.number().nonnegative()]).readonly();

/** How a request may share an endpoint with others. */
export const isolationModes = ['shared', 'no-other-suspect', 'alone'] as const;

const schemas = {
	work: z.object({
		requestId,
		attempt: count,
		workspace: name,
		priority: count,
		weight: z.number().positive(),
		deadlineMs: z.number().nonnegative(),
		solo: z.enum(isolationModes),
		fingerprint: name,
		target: z.enum(['model', 'service']),
		once: z.boolean(),
		method: z.string().max(16),
		path: z.string().max(4096),
		headers,
		body: bytes,
		resumeOffset: count,
		prefixHash: z.string().max(16),
		tokens: count,
		/** Prefixes of the prompt, shortest first: hash and length in tokens. */
		prefixes: z.array(z.tuple([z.string().max(16), count]).readonly()).max(16).readonly(),
	}),
	accepted: z.object({
		requestId, attempt: count, cachedTokens: count, load: loadSchema,
	}),
	refused: z.object({
		requestId, attempt: count, reason: name, outcome, load: loadSchema,
	}),
	head: z.object({
		requestId, attempt: count, status: z.number().int().min(100).max(599), headers,
	}),
	chunk: z.object({
		requestId, attempt: count, offset: count, data: bytes,
	}),
	end: z.object({
		requestId, attempt: count, totalBytes: count, from: count, hash: z.string().max(16), load: loadSchema,
	}),
	failed: z.object({
		requestId, attempt: count, reason: name, outcome, crashId: name, alone: z.boolean(),
	}),
	cancel: z.object({requestId, attempt: count}),
	ack: z.object({requestId, attempt: count, offset: count}),
	subscribe: z.object({reports: z.boolean()}),
	report: z.object({load: loadSchema, rulesVersion: count, mapVersion: count}),
	heartbeat: z.object({rulesVersion: count, directoryVersion: count, confirmedAgeMs: z.number().nonnegative()}),
	textWant: z.object({topic: z.enum(['rules', 'directory']), have: count}),
	text: z.object({
		topic: z.enum(['rules', 'directory']),
		version: count,
		base: count,
		keepStart: count,
		keepEnd: count,
		lines: z.array(z.string()).readonly(),
		hash: z.string().max(16),
	}),
	announce: z.object({machine: z.unknown(), incarnation: z.string().max(64)}),
	demand: z.object({items: z.array(demandSchema).max(4096).readonly()}),
	grant: z.object({items: z.array(grantSchema).max(4096).readonly()}),
	suspects: z.object({fingerprints: z.array(name).max(4096).readonly()}),
	ask: z.object({id: count, topic: name, payload: z.unknown()}),
	answer: z.object({id: count, payload: z.unknown()}),
	map: z.object({group: name, payload: z.unknown()}),
	leaving: z.object({leaving: z.boolean()}),
	bye: z.object({reason: name}),
} as const;

type Schemas = typeof schemas;

/** Names of all messages. */
export type MessageKind = keyof Schemas;

/** All messages, discriminated by `kind`. */
export type Message = {
	readonly [Kind in MessageKind]: {readonly kind: Kind} & Readonly<z.infer<Schemas[Kind]>>
}[MessageKind];

/** The message of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, {readonly kind: Kind}>;

/** Load on the wire: queued tokens, running, tokens/s, step ms, cached prefixes, leaving. */
export type WireLoad = z.infer<typeof loadSchema>;

const kinds = Object.keys(schemas) as readonly MessageKind[];
const numbers = new Map(kinds.map((kind, index) => [kind, index]));
const fields = new Map(kinds.map(kind => [kind, Object.keys(schemas[kind].shape)]));

/** Turns a message into the array that is put on the wire. */
export function packMessage(message: Message): readonly unknown[] {
	const values = message as unknown as Readonly<Record<string, unknown>>;
	const order = fields.get(message.kind) ?? [];
	return [numbers.get(message.kind), ...order.map(field => values[field])];
}

/**
 * Reads a message from the wire.
 *
 * @throws InputError when the kind is unknown or a field is missing or of the wrong shape.
 */
export function unpackMessage(wire: unknown): Message {
	if (!Array.isArray(wire)) {
		throw new InputError('message is not an array');
	}

	const values: readonly unknown[] = wire;
	const kind = kinds[values[0] as number];
	if (kind === undefined) {
		throw new InputError(`unknown message kind ${String(values[0])}`);
	}

	const order = fields.get(kind) ?? [];
	const raw = Object.fromEntries(order.map((field, index) => [field, values[index + 1]]));
	const parsed = schemas[kind].safeParse(raw);
	if (!parsed.success) {
		throw new InputError(`message ${kind}: ${parsed.error.issues[0]?.path.join('.') ?? ''} ${parsed.error.issues[0]?.message ?? ''}`);
	}

	const message: unknown = {kind, ...parsed.data};
	return message as Message;
}
