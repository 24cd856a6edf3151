/**
 * Base error classes. Every error that leaves a package derives from `BaseError`,
 * so that callers can tell expected failures from programming mistakes.
 */
import ModernError from 'modern-errors';

/** Root of all errors of this project. */
export const BaseError = ModernError.subclass('BaseError', {});

/** Input from outside (file, message, request) that is not valid. */
export const InputError = BaseError.subclass('InputError', {});

/** An invariant of the program does not hold; the message names the broken condition. */
export const InvariantError = BaseError.subclass('InvariantError', {});

/** An outside system did not answer, or answered with a failure. */
export const UnavailableError = BaseError.subclass('UnavailableError', {});
