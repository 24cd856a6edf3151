/**
 * Messages between the processes of this system. Each kind has one schema. A message is encoded
 * as an array of the kind number and the fields in schema order, which keeps a load report
 * near 40 bytes.
 */
import {z} from 'zod';
import {InputError} from '#core';

/** Version of the message set. A peer with a different version is rejected. */
export const PROTOCOL_VERSION = 1;

/** Maximum size of one WebSocket message in bytes. */
export const MAX_MESSAGE_BYTES = 1024 * 1024;

/** Maximum size of a caller's request body in one `work` message, in bytes; leaves room for headers. */
export const MAX_WORK_BODY_BYTES = 900 * 1024;

const name = z.string().max(256);
const requestId = z.string().min(1).max(128);
const count = z.number().int().nonnegative();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array, 'not bytes');
const headers = z.record(z.string().max(256), z.string().max(16_384));
const outcome = z.enum(['not-run', 'unknown']);

/** Encoding of a replica's load in reports and answers. */
const loadSchema = z.tuple([count, count, z.number().nonnegative(), z.number().nonnegative(), count, z.boolean()]).readonly();

/** Demand of a workspace: name, sequence, requested tokens/s, granted tokens/s, sequence of the demand that the current grant answered. */
const demandSchema = z.tuple([name, count, z.number().nonnegative(), z.number().nonnegative(), count]).readonly();

/** Grant to a workspace: name, sequence of the demand that it answers, tokens/s. */
const grantSchema = z.tuple([name, count, z.number().nonnegative()]).readonly();

/** With which other requests a request may share an endpoint. */
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
		/** Prefixes of the prompt, shortest first, each with its hash and length in tokens. */
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

/** Names of all message kinds. */
export type MessageKind = keyof Schemas;

/** All messages, discriminated by `kind`. */
export type Message = {
	readonly [Kind in MessageKind]: {readonly kind: Kind} & Readonly<z.infer<Schemas[Kind]>>
}[MessageKind];

/** Message of the given kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, {readonly kind: Kind}>;

/** Encoded load: queued tokens, running requests, tokens/s, step time in ms, cached prefixes, leaving. */
export type WireLoad = z.infer<typeof loadSchema>;

const kinds = Object.keys(schemas) as readonly MessageKind[];
const kindNumbers = new Map(kinds.map((kind, index) => [kind, index]));
const fieldsByKind = new Map(kinds.map(kind => [kind, Object.keys(schemas[kind].shape)]));

/** Encodes a message as an array. */
export function packMessage(message: Message): readonly unknown[] {
	const values = message as unknown as Readonly<Record<string, unknown>>;
	const fieldNames = fieldsByKind.get(message.kind) ?? [];
	return [kindNumbers.get(message.kind), ...fieldNames.map(field => values[field])];
}

/**
 * Decodes and validates a message.
 *
 * @throws InputError if the kind is unknown or a field is missing or invalid.
 */
export function unpackMessage(packed: unknown): Message {
	if (!Array.isArray(packed)) {
		throw new InputError('message is not an array');
	}

	const values: readonly unknown[] = packed;
	const kind = kinds[values[0] as number];
	if (kind === undefined) {
		throw new InputError(`unknown message kind ${String(values[0])}`);
	}

	const fieldNames = fieldsByKind.get(kind) ?? [];
	const raw = Object.fromEntries(fieldNames.map((field, index) => [field, values[index + 1]]));
	const parsed = schemas[kind].safeParse(raw);
	if (!parsed.success) {
		throw new InputError(`message ${kind}: ${parsed.error.issues[0]?.path.join('.') ?? ''} ${parsed.error.issues[0]?.message ?? ''}`);
	}

	const message: unknown = {kind, ...parsed.data};
	return message as Message;
}
