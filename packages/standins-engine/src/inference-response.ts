/**
 * Deterministic responses: the bytes depend only on the request body and the request id,
 * so tests and the load generator can compute the expected response.
 */
import {Buffer} from 'node:buffer';
import {hashText} from './hash.js';
import {parseInferenceRequest, type CompletionKind, type InferenceRequest} from './inference-request.js';
import {createRandom} from './random.js';

/** Characters counted as one prompt token. */
export const CHARS_PER_TOKEN = 4;

/** Range from which the response length in tokens is drawn if the request specifies none. */
const DEFAULT_TOKEN_RANGE = {min: 16, max: 79};

/** Value of `created` in seconds; constant, because the current time would make two runs differ. */
const CREATED_SECONDS = 1_700_000_000;

/** Words in three scripts, so that byte offsets also fall inside multi-byte characters. */
const WORDS = [
	'the',
	'pack',
	'reads',
	'low',
	'charge',
	'swap',
	'before',
	'noon',
	'boat',
	'station',
	'notice',
	'family',
	'evening',
	'දැනුම්දීම',
	'පවුල',
	'ලංකාව',
	'සවස',
	'அறிவிப்பு',
	'குடும்பம்',
	'மாலை',
	'நேரம்',
	'niño',
	'café',
	'"quoted"',
	'line\n',
	'🔋',
];

/** A complete response, split into one chunk per step of the engine. */
export type InferenceResponse = {
	readonly requestId: string;
	readonly contentType: 'application/json' | 'text/event-stream';
	/** One chunk of bytes per generated token; a response that is not streamed has all its bytes in the last chunk. */
	readonly chunks: readonly Uint8Array[];
	/** Number of generated tokens. */
	readonly tokens: number;
	/** Number of prompt tokens. */
	readonly promptTokens: number;
	/** The generated text. */
	readonly text: string;
};

function generateWords(request: InferenceRequest): readonly string[] {
	const random = createRandom(Number(BigInt.asIntN(32, BigInt(`0x${hashText(request.seedText)}`))));
	const defaultCount = random.int(DEFAULT_TOKEN_RANGE.min, DEFAULT_TOKEN_RANGE.max);
	const count = request.maxTokens ?? defaultCount;
	return Array.from({length: count}, (_, index) => {
		const word = WORDS[random.int(0, WORDS.length - 1)] ?? '';
		return index === 0 ? word : ` ${word}`;
	});
}

function serverSentEvent(value: unknown): string {
	return `data: ${JSON.stringify(value)}\n\n`;
}

type Envelope = {
	readonly id: string;
	readonly object: string;
	readonly created: number;
	readonly model: string;
};

function createEnvelope(request: InferenceRequest, requestId: string): Envelope {
	const chatObject = request.stream ? 'chat.completion.chunk' : 'chat.completion';
	return {
		id: request.kind === 'chat' ? `chatcmpl-${requestId}` : `cmpl-${requestId}`,
		object: request.kind === 'chat' ? chatObject : 'text_completion',
		created: CREATED_SECONDS,
		model: request.model,
	};
}

function usage(promptTokens: number, tokens: number): Record<string, number> {
	return {prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens};
}

function streamChoice(kind: CompletionKind, word: string, finishReason?: string): Record<string, unknown> {
	const content = kind === 'chat' ? {delta: word === '' ? {} : {content: word}} : {text: word};
	return {
		index: 0, ...content, logprobs: null, finish_reason: finishReason ?? null,
	};
}

function streamedChunks(request: InferenceRequest, envelope: Envelope, words: readonly string[], promptTokens: number): readonly Uint8Array[] {
	const finishReason = request.maxTokens === undefined ? 'stop' : 'length';
	return words.map((word, index) => {
		let text = '';
		if (index === 0 && request.kind === 'chat') {
			text += serverSentEvent({
				...envelope, choices: [{
					index: 0, delta: {role: 'assistant', content: ''}, logprobs: null, finish_reason: null,
				}],
			});
		}

		text += serverSentEvent({...envelope, choices: [streamChoice(request.kind, word)]});
		if (index === words.length - 1) {
			text += serverSentEvent({...envelope, choices: [streamChoice(request.kind, '', finishReason)]});
			text += request.includeUsage ? serverSentEvent({...envelope, choices: [], usage: usage(promptTokens, words.length)}) : '';
			text += 'data: [DONE]\n\n';
		}

		return Buffer.from(text);
	});
}

function unstreamedChunks(request: InferenceRequest, envelope: Envelope, words: readonly string[], promptTokens: number): readonly Uint8Array[] {
	const finishReason = request.maxTokens === undefined ? 'stop' : 'length';
	const text = words.join('');
	const content = request.kind === 'chat' ? {message: {role: 'assistant', content: text, refusal: null}} : {text};
	const choice = {
		index: 0, ...content, logprobs: null, finish_reason: finishReason,
	};
	const bytes = Buffer.from(JSON.stringify({...envelope, choices: [choice], usage: usage(promptTokens, words.length)}));
	return words.map((_, index) => index === words.length - 1 ? bytes : Buffer.alloc(0));
}

/** Generates the complete response to a request. */
export function createResponse(request: InferenceRequest, requestId: string): InferenceResponse {
	const words = generateWords(request);
	const promptTokens = Math.ceil(request.prompt.length / CHARS_PER_TOKEN);
	const envelope = createEnvelope(request, requestId);
	const chunks = request.stream ? streamedChunks(request, envelope, words, promptTokens) : unstreamedChunks(request, envelope, words, promptTokens);
	return {
		requestId,
		contentType: request.stream ? 'text/event-stream' : 'application/json',
		chunks,
		tokens: words.length,
		promptTokens,
		text: words.join(''),
	};
}

/**
 * The exact bytes of the response body that a caller must receive.
 *
 * @param body - The parsed JSON request body.
 * @throws InputError if the engine would refuse the body.
 */
export function expectedResponseBytes(kind: CompletionKind, body: unknown, requestId: string): Uint8Array {
	return Buffer.concat(createResponse(parseInferenceRequest(kind, body), requestId).chunks);
}
