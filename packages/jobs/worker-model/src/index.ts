export * from './gangs.js';
export * from './machines.js';
export * from './worker.js';
