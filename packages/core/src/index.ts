/** Public API: kernel, commands, invariants, errors, findings and results. */
export {parseAddress, splitAddress, type Address} from './address.js';
export {
	BaseError, InputError, InvariantError, UnavailableError,
} from './errors.js';
export {BodyBuffer, PiecePool} from './body-buffer.js';
export {announcedBytes, bodyFramingOf, type BodyFraming} from './body-framing.js';
export {describeError} from './describe-error.js';
export {createDeferred, type Deferred} from './deferred.js';
export {invariant, unreachable} from './invariant.js';
export {isFinalStatus} from './final-status.js';
export {formatFinding, type Finding} from './finding.js';
export {listenWhenFree} from './listen.js';
export {failed, ok, type Result} from './result.js';
export {guardCallback, superviseTask, type ErrorListener} from './supervise.js';
export {isRevision} from './revision.js';
export {sleep} from './sleep.js';
export {startUnlessAborted} from './start.js';
export {
	createCommand,
	Kernel,
	mergeTeardowns,
	type Command,
	type CommandHandler,
	type Teardown,
	type UpdateListener,
} from './kernel.js';
