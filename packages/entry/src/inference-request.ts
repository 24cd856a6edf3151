/** Parses the body of an inference request: model, stream flag, prompt size and prefixes. */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {failed, ok, type Result} from '#core';
import {type ResolvedModel} from '#rules';
import {hashHex, type PromptPrefix} from '#routing';

/** Estimated characters per token; the engine's tokenizer is not available here. */
const CHARS_PER_TOKEN = 4;

/** Estimated output tokens if the caller sets no limit. */
const DEFAULT_OUTPUT_TOKENS = 375;

/** Prefix lengths in characters at which prompts without several messages are hashed. */
const PREFIX_CHARS = [256, 1024, 4096, 16_384] as const;

/** Prefixes kept per request: those of the first two messages select its preferred replicas, the last ones the replica with the longest cached prefix. */
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

/** The properties of an inference request that routing uses. Token counts are estimates. */
export type InferenceRequest = {
	readonly model: string;
	readonly stream: boolean;
	readonly inputTokens: number;
	readonly outputTokens: number;
	readonly prefixes: readonly PromptPrefix[];
	/** Identical for identical requests, independent of the sender. */
	readonly fingerprint: string;
};

function contentText(content: unknown): string {
	return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

/** The prompt as one string, and the lengths in characters of prefixes that other requests may share, shortest first. */
function extractPrompt(body: z.infer<typeof bodySchema>): {readonly prompt: string; readonly lengths: readonly number[]} {
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
 * Parses a request body.
 *
 * @returns The request, or an error message that describes the first problem.
 */
export function parseInferenceRequest(raw: Uint8Array): Result<InferenceRequest, string> {
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
	const {prompt, lengths} = extractPrompt(parsed.data);
	return ok({
		model,
		stream: stream ?? false,
		inputTokens: Math.ceil(prompt.length / CHARS_PER_TOKEN),
		outputTokens: maxCompletionTokens ?? maxTokens ?? DEFAULT_OUTPUT_TOKENS,
		prefixes: lengths.map(length => ({hash: hashHex(`${model}|${prompt.slice(0, length)}`), tokens: Math.ceil(length / CHARS_PER_TOKEN)})),
		fingerprint: hashHex(`${model}|${prompt}`),
	});
}

/** Model name with version and adapter, as replicas advertise it. */
export function qualifiedModelName({rule, version, adapter}: ResolvedModel): string {
	const suffix = adapter === undefined ? '' : `+${adapter}`;
	return `${rule.name}@${version}${suffix}`;
}
