/** Fault-injecting TCP proxy for tests. */
export {FaultProxy, type FaultProxyOptions, type ProxyCounts} from './fault-proxy.js';
export {
	NO_FAULTS, parseProxyFaults, type Direction, type ProxyFaults,
} from './proxy-faults.js';
