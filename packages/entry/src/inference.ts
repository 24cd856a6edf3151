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

/** Text prompts have no messages; their prefixes are hashed at these lengths in characters. */
const PREFIX_CHARS = [256, 1024, 4096, 16_384] as const;

/** Prefixes kept for one request: the first two messages fix its home, the last ones its replica. */
const FIRST_PREFIXES = 2;
const LAST_PREFIXES = 6;

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

/** The prompt as one text, and the lengths of its prefixes that other requests may share, shortest first. */
function promptOf(body: z.infer<typeof bodySchema>): {readonly prompt: string; readonly lengths: readonly number[]} {
	if (body.messages === undefined || body.messages.length <= 1) {
		const prompt = body.messages === undefined ? contentText(body.prompt) : contentText(body.messages[0]?.content);
		return {prompt, lengths: [...PREFIX_CHARS.filter(length => length < prompt.length), prompt.length]};
	}

	let prompt = '';
	const ends = body.messages.map(({role, content}) => {
		prompt += `${role}\n${contentText(content)}\n`;
		return prompt.length;
	});
	return {prompt, lengths: [...new Set([...ends.slice(0, FIRST_PREFIXES), ...ends.slice(-LAST_PREFIXES)])]};
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
	const {prompt, lengths} = promptOf(parsed.data);
	return ok({
		model,
		stream: stream ?? false,
		inputTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
		outputTokens: maxCompletionTokens ?? maxTokens ?? DEFAULT_OUTPUT_TOKENS,
		prefixes: lengths.map(length => ({hash: hashHex(`${model}|${prompt.slice(0, length)}`), tokens: Math.ceil(length / CHARS_PER_TOKEN)})),
		fingerprint: hashHex(`${model}|${prompt}`),
	});
}

/** Model, version and adapter as replicas offer them. */
export function offeredName({rule, version, adapter}: ResolvedModel): string {
	const suffix = adapter === undefined ? '' : `+${adapter}`;
	return `${rule.name}@${version}${suffix}`;
}
