/**
 * Peer authentication and message integrity. Both sides prove that they hold the shared
 * key. Each message then carries a MAC computed with a session key and a sequence number that
 * must increase by one, so that a replayed, dropped or modified message closes the link.
 */
import {Buffer} from 'node:buffer';
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {Packr} from 'msgpackr';
import {z} from 'zod';
import {
	MAX_MESSAGE_BYTES, packMessage, PROTOCOL_VERSION, unpackMessage, type Message,
} from './messages.js';
import {InputError} from '#core';

const NONCE_BYTES = 16;
const MAC_BYTES = 16;
const packr = new Packr({useRecords: false});

const identitySchema = z.object({
	id: z.string().min(1).max(128),
	role: z.enum(['entry', 'endpoint']),
	region: z.string().max(128),
	zone: z.string().max(128),
	address: z.string().max(64),
	incarnation: z.string().max(64),
});

/** Identity of a peer. `incarnation` changes each time the process starts. */
export type PeerIdentity = Readonly<z.infer<typeof identitySchema>>;

const challengeSchema = z.object({version: z.literal(PROTOCOL_VERSION), nonce: z.string().length(NONCE_BYTES * 2)});
const helloSchema = z.object({
	version: z.literal(PROTOCOL_VERSION), nonce: z.string().length(NONCE_BYTES * 2), identity: identitySchema, mac: z.string().max(64),
});
const welcomeSchema = z.object({identity: identitySchema, mac: z.string().max(64)});

/** First handshake message, from the process that accepted the connection. */
export type Challenge = Readonly<z.infer<typeof challengeSchema>>;
/** Second handshake message, from the process that dialled. */
export type Hello = Readonly<z.infer<typeof helloSchema>>;
/** Third handshake message, from the process that accepted the connection; after it both sides are authenticated. */
export type Welcome = Readonly<z.infer<typeof welcomeSchema>>;

function computeMac(key: string, ...parts: readonly string[]): string {
	return createHmac('sha256', key).update(JSON.stringify(parts)).digest('hex').slice(0, 64);
}

function macsEqual(a: string, b: string): boolean {
	const left = Buffer.from(a);
	const right = Buffer.from(b);
	return left.length === right.length && timingSafeEqual(left, right);
}

function identityFields(identity: PeerIdentity): readonly string[] {
	return [identity.id, identity.role, identity.region, identity.zone, identity.address, identity.incarnation];
}

/** Encodes a handshake message. */
export function encodeHandshake(value: Challenge | Hello | Welcome): Uint8Array {
	return packr.pack(value);
}

function decodeHandshake<Value>(schema: z.ZodType<Value>, data: Uint8Array, messageName: string): Value {
	let value: unknown;
	try {
		value = packr.unpack(data);
	} catch {
		throw new InputError(`${messageName} is not readable`);
	}

	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		throw new InputError(`${messageName} is not valid or has another protocol version`);
	}

	return parsed.data;
}

/** Creates a challenge with a new random nonce. */
export function createChallenge(): Challenge {
	return {version: PROTOCOL_VERSION, nonce: randomBytes(NONCE_BYTES).toString('hex')};
}

/**
 * Answers a challenge.
 *
 * @throws InputError if the challenge cannot be decoded or has a different version.
 */
export function answerChallenge(data: Uint8Array, key: string, identity: PeerIdentity): {readonly challenge: Challenge; readonly hello: Hello} {
	const challenge = decodeHandshake(challengeSchema, data, 'challenge');
	const {nonce} = createChallenge();
	const helloMac = computeMac(key, 'hello', challenge.nonce, nonce, ...identityFields(identity));
	return {
		challenge,
		hello: {
			version: PROTOCOL_VERSION, nonce, identity, mac: helloMac,
		},
	};
}

/**
 * Verifies a hello and creates the welcome.
 *
 * @throws InputError if the hello cannot be decoded or its MAC is wrong.
 */
export function acceptHello(data: Uint8Array, challenge: Challenge, key: string, identity: PeerIdentity): {readonly hello: Hello; readonly welcome: Welcome} {
	const hello = decodeHandshake(helloSchema, data, 'hello');
	const expected = computeMac(key, 'hello', challenge.nonce, hello.nonce, ...identityFields(hello.identity));
	if (!macsEqual(expected, hello.mac)) {
		throw new InputError('hello has a wrong proof of the shared key');
	}

	return {hello, welcome: {identity, mac: computeMac(key, 'welcome', hello.nonce, challenge.nonce, ...identityFields(identity))}};
}

/**
 * Verifies a welcome.
 *
 * @throws InputError if the welcome cannot be decoded or its MAC is wrong.
 */
export function verifyWelcome(data: Uint8Array, challenge: Challenge, hello: Hello, key: string): Welcome {
	const welcome = decodeHandshake(welcomeSchema, data, 'welcome');
	const expected = computeMac(key, 'welcome', hello.nonce, challenge.nonce, ...identityFields(welcome.identity));
	if (!macsEqual(expected, welcome.mac)) {
		throw new InputError('welcome has a wrong proof of the shared key');
	}

	return welcome;
}

/** Encodes outgoing and decodes incoming message batches, with a separate key and sequence number for each direction. */
export class Session {
	/**
	 * @param key - Shared key.
	 * @param challenge - Challenge of this connection.
	 * @param hello - Hello of this connection.
	 * @param side - Whether this process dialled or accepted the connection.
	 */
	static create(key: string, challenge: Challenge, hello: Hello, side: 'dialled' | 'accepted'): Session {
		const sessionKey = (direction: string) => computeMac(key, 'session', direction, challenge.nonce, hello.nonce);
		return side === 'dialled'
			? new Session(sessionKey('to-server'), sessionKey('to-client'))
			: new Session(sessionKey('to-client'), sessionKey('to-server'));
	}

	readonly #sendKey: string;
	readonly #receiveKey: string;
	#sentCount = 0;
	#receivedCount = 0;

	private constructor(sendKey: string, receiveKey: string) {
		this.#sendKey = sendKey;
		this.#receiveKey = receiveKey;
	}

	/** Encodes a batch of messages as one WebSocket message. */
	encode(messages: readonly Message[]): Uint8Array {
		this.#sentCount += 1;
		const body = packr.pack([PROTOCOL_VERSION, this.#sentCount, messages.map(message => packMessage(message))]);
		const messageMac = createHmac('sha256', this.#sendKey).update(body).digest().subarray(0, MAC_BYTES);
		return Buffer.concat([messageMac, body]);
	}

	/**
	 * Decodes one WebSocket message.
	 *
	 * @throws InputError if the MAC, version or sequence number is wrong or a message fails its schema.
	 */
	decode(data: Uint8Array): readonly Message[] {
		if (data.length < MAC_BYTES || data.length > MAX_MESSAGE_BYTES) {
			throw new InputError(`message of ${data.length} bytes is outside ${MAC_BYTES} to ${MAX_MESSAGE_BYTES}`);
		}

		const receivedMac = data.subarray(0, MAC_BYTES);
		const body = data.subarray(MAC_BYTES);
		const expectedMac = createHmac('sha256', this.#receiveKey).update(body).digest().subarray(0, MAC_BYTES);
		if (!timingSafeEqual(receivedMac, expectedMac)) {
			throw new InputError('message has a wrong MAC');
		}

		const [version, sequence, packedMessages] = this.#unpack(body);
		if (version !== PROTOCOL_VERSION) {
			throw new InputError(`protocol version ${String(version)} is not ${PROTOCOL_VERSION}`);
		}

		if (sequence !== this.#receivedCount + 1) {
			throw new InputError(`message number ${String(sequence)} does not follow ${this.#receivedCount}: replayed or lost`);
		}

		this.#receivedCount = sequence;
		return packedMessages.map(packed => unpackMessage(packed));
	}

	#unpack(body: Uint8Array): readonly [unknown, unknown, readonly unknown[]] {
		let value: unknown;
		try {
			value = packr.unpack(body);
		} catch {
			throw new InputError('message is not readable');
		}

		if (!Array.isArray(value) || !Array.isArray(value[2])) {
			throw new InputError('message is not a batch');
		}

		return value as [unknown, unknown, readonly unknown[]];
	}
}
