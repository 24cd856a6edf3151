/** What the entry reads of an inference request's body: model, stream flag, prompt size and prefixes. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {failed, ok, type Result} from '#core';
import {type ResolvedModel} from '#rules';
import {hashHex, type PromptPrefix} from '#routing';

/** A token is taken as this many characters; the engine's own count is not known here. */
const CHARS_PER_TOKEN = 4;

/** Output tokens expected when the caller names no limit. */
const DEFAULT_OUTPUT_TOKENS = 375;

/** Prefixes of these lengths in characters are hashed; a caller's system prompt fills the first ones. */
const PREFIX_CHARS = [256, 1024, 4096, 16_384] as const;

const contentSchema = z.union([z.string(), z.array(z.unknown()), z.null()]);
const bodySchema = z.object({
	model: z.string().min(1).max(256),
	stream: z.boolean().nullish(),
	max_tokens: z.number().int().positive().nullish(),
	max_completion_tokens: z.number().int().positive().nullish(),
	messages: z.array(z.object({role: z.string(), content: contentSchema.nullish()})).optional(),
	prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
});

/** An inference request as routing needs it. Lengths are estimates in tokens. */
export type Inference = {
	readonly model: string;
	readonly stream: boolean;
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly prefixes: readonly PromptPrefix[];
	/** Same for the same request, whoever sends it and how often. */
	readonly fingerprint: string;
};

function contentText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

function promptOf(body: z.infer<typeof bodySchema>): string {
	if (body.messages !== undefined) {
		return body.messages.map(({role, content}) => `${role}\n${contentText(content)}`).join('\n');
	}

	return contentText(body.prompt);
}

/**
 * Reads a body.
 *
 * @returns The request, or a message that says what is wrong with the body.
 */
export function readInference(raw: Uint8Array): Result<Inference, string> {
	let json: unknown;
	try {
		json = JSON.parse(Buffer.from(raw.buffer, raw.byteOffset, raw.length).toString('utf8'));
	} catch {
		return failed('the body is not JSON');
	}

	const parsed = bodySchema.safeParse(json);
	if (!parsed.success) {
		const issue = parsed.error.issues[0];
		return failed(`${issue?.path.join('.') ?? 'body'}: ${issue?.message ?? 'not valid'}`);
	}

	const {model, stream, max_tokens: maxTokens, max_completion_tokens: maxCompletionTokens} = parsed.data;
	const prompt = promptOf(parsed.data);
	return ok({
		model,
		stream: stream ?? false,
		inputTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
		outputTokens: maxCompletionTokens ?? maxTokens ?? DEFAULT_OUTPUT_TOKENS,
		prefixes: PREFIX_CHARS
			.filter(length => prompt.length >= length)
			.map(length => ({hash: hashHex(`${model}|${prompt.slice(0, length)}`), tokens: Math.floor(length / CHARS_PER_TOKEN)})),
		fingerprint: hashHex(`${model}|${prompt}`),
	});
}

/** Model, version and adapter as replicas offer them. */
export function offeredName({rule, version, adapter}: ResolvedModel): string {
	const suffix = adapter === undefined ? '' : `+${adapter}`;
	return `${rule.name}@${version}${suffix}`;
}
