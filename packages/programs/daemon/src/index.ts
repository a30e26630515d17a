/** The daemon as a library for tests; the program is `main.ts`. */
export * from './daemon.js';
export * from './entry-instance.js';
