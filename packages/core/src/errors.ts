/**
 * Base error classes. All errors that a package throws to its callers derive from `BaseError`,
 * so that callers can distinguish expected failures from programming errors.
 */
import ModernError from 'modern-errors';

/** Base class of all errors of this project. */
export const BaseError = ModernError.subclass('BaseError', {});

/** Invalid external input, such as a file, message or request. */
export const InputError = BaseError.subclass('InputError', {});

/** An invariant of the program does not hold; the message names the broken condition. */
export const InvariantError = BaseError.subclass('InvariantError', {});

/** An external system did not respond, or responded with a failure. */
export const UnavailableError = BaseError.subclass('UnavailableError', {});
