/** Public index: the protocol that changes the expert map of a group in one step, and the rebalancing planner. */
export * from './engine-order.js';
export * from './messages.js';
