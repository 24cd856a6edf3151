/** Public index: benchmark of the load balancer with its parts, their registry, and the fleet that they measure. */
export {
	BenchFleet, parseProcessStat, type BenchFleetOptions, type ProcessUsage,
} from './fleet.js';
export type {BenchContext, BenchPart, BenchResult} from './part.js';
export {overloadPart} from './overload-part.js';
export {median, passingPart} from './passing.js';
export {
	BENCH_PARTS, formatMachine, formatResult, readMachine, selectParts, writeResult, type MachineInfo,
} from './registry.js';
export {routingPart} from './routing-part.js';
export {skewPart} from './skew-part.js';
export {throughputPart} from './throughput.js';
