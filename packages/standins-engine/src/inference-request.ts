/** Parses the request bodies of the inference API. */
import {z} from 'zod';
import {InputError} from '#core';

/** The two kinds of completion; each has its own path and response format. */
export type CompletionKind = 'chat' | 'text';

/** Fields of a completion request that the stand-in uses. */
export type InferenceRequest = {
	readonly kind: CompletionKind;
	readonly model: string;
	/** Complete prompt text; chat messages are joined as `role`, newline, `content`, newline. */
	readonly prompt: string;
	readonly stream: boolean;
	/** Whether a usage chunk precedes the end marker of a stream. */
	readonly includeUsage: boolean;
	/** Requested number of tokens, if any. */
	readonly maxTokens: number | undefined;
	/** Text that determines the generated text: the body without its streaming options. */
	readonly seedText: string;
};

const contentPart = z.looseObject({type: z.string(), text: z.string().optional()});
const commonFields = {
	model: z.string().min(1),
	stream: z.boolean().nullish(),
	stream_options: z.looseObject({include_usage: z.boolean().optional()}).nullish(),
	max_tokens: z.int().positive().nullish(),
	max_completion_tokens: z.int().positive().nullish(),
	n: z.literal(1).nullish(),
};
const chatSchema = z.looseObject({
	...commonFields,
	messages: z.array(z.looseObject({role: z.string(), content: z.union([z.string(), z.array(contentPart)]).nullish()})).min(1),
});
const textSchema = z.looseObject({...commonFields, prompt: z.union([z.string(), z.array(z.string())])});

type ChatMessage = z.infer<typeof chatSchema>['messages'][number];

function messageText({role, content}: ChatMessage): string {
	const text = typeof content === 'string' ? content : (content ?? []).map(item => item.text ?? '').join('');
	return `${role}\n${text}\n`;
}

function readPrompt(kind: CompletionKind, body: unknown): {readonly fields: z.infer<z.ZodObject<typeof commonFields>>; readonly prompt: string} {
	if (kind === 'chat') {
		const fields = chatSchema.parse(body);
		return {fields, prompt: fields.messages.map(message => messageText(message)).join('')};
	}

	const fields = textSchema.parse(body);
	return {fields, prompt: typeof fields.prompt === 'string' ? fields.prompt : fields.prompt.join('\n')};
}

/**
 * Parses a request body.
 *
 * @param body - The parsed JSON body.
 * @throws InputError if the body does not match the schema of the inference API.
 */
export function parseInferenceRequest(kind: CompletionKind, body: unknown): InferenceRequest {
	try {
		const {fields, prompt} = readPrompt(kind, body);
		const {stream, stream_options: streamOptions, ...seedFields} = fields;
		return {
			kind,
			model: fields.model,
			prompt,
			stream: stream ?? false,
			includeUsage: streamOptions?.include_usage ?? false,
			maxTokens: fields.max_completion_tokens ?? fields.max_tokens ?? undefined,
			seedText: JSON.stringify(seedFields),
		};
	} catch (error) {
		throw new InputError(`request body: ${error instanceof z.ZodError ? z.prettifyError(error) : String(error)}`);
	}
}
