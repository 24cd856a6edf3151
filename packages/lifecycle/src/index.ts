/**
 * Public API: the life of a process, from its first signal handler to the last line of its log. A program's main module imports
 * nothing else and calls `ProcessLife.create().run(load)`, where `load` imports the modules of the program.
 */
export {
	ProcessLife, type LoadedProgram, type Program, type Service,
} from './process-life.js';
