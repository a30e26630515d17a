export type * from './identifiers.js';
export * from './clock.js';
export * from './instances.js';
export * from './listening.js';
export * from './platform.js';
export * from './ports.js';
export * from './problems.js';
