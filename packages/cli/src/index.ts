/** Public index of the command-line tool: the command and the schemas of the entry's admin routes. */
export {
	candidateSchema,
	explainRequestSchema,
	explainResponseSchema,
	machineLoadSchema,
	machineStatusSchema,
	statusResponseSchema,
	type Candidate,
	type ExplainResponse,
	type ExplainRequest,
	type MachineStatus,
	type StatusResponse,
} from '#admin';
export {exitCodes, type CliContext, type ExitCode} from './context.js';
export {runCli} from './run.js';
