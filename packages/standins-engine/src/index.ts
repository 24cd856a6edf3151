/** Public index of the stand-in engine. */
export * from './rank.js';
export * from './lock-step-group.js';
