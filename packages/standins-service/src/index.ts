/** Stand-in for a plain service: a booking ledger that detects duplicate executions. */
export {Ledger, type Booking, type LedgerCounts} from './ledger.js';
export {
	ServiceServer, type BookingResponse, type ServiceFaults, type ServiceServerOptions,
} from './service-server.js';
