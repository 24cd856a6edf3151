/** Public index of the command line: the command itself and the shapes of the entry's admin routes. */
export {
	candidateSchema,
	explainRequestSchema,
	explainSchema,
	machineLoadSchema,
	machineStatusSchema,
	statusSchema,
	type Candidate,
	type Explain,
	type ExplainRequest,
	type MachineStatus,
	type Status,
} from '#admin';
export {exitCodes, type CliContext, type ExitCode} from './context.js';
export {runCli} from './run.js';
