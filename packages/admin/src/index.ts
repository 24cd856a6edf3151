/** Public index: schemas of the entry's admin routes, shared by the daemon and the command-line tool. */
export * from './admin-schema.js';
