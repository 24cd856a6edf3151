/** Public index: the entry role and its refusals. */
export {Entry, type EntryOptions} from './entry.js';
export {
	refusalReasons, createRefusal, renderRefusal, retryReasons, type Outcome, type Refusal, type RefusalReason, type RetryReason,
} from './refusal.js';
