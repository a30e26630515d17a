export * from './gangs.js';
export * from './machines.js';
export * from './oracle.js';
export * from './worker.js';
export type * from './worker-types.js';
