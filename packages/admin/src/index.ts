/** Public index: shapes of the entry's routes for operators, shared by the daemon and the command-line tool. */
export * from './admin-schema.js';
