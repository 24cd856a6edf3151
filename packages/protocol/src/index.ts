/** Public API: messages, authenticated links, peer server and dialling. */
export {
	MAX_MESSAGE_BYTES,
	MAX_WORK_BODY_BYTES,
	packMessage,
	PROTOCOL_VERSION,
	isolationModes,
	unpackMessage,
	type Message,
	type MessageKind,
	type MessageOf,
	type WireLoad,
} from './messages.js';
export {
	acceptHello, answerChallenge, verifyWelcome, createChallenge, encodeHandshake, Session, type PeerIdentity,
} from './session.js';
export {PeerLink, type LinkCounts} from './peer-link.js';
export {PeerServer, type PeerServerOptions} from './peer-server.js';
export {dialPeer, type DialOptions} from './dial-peer.js';
export {Checksum} from './checksum.js';
export {LinkPool, type AskHandler, type LinkPoolOptions} from './link-pool.js';
