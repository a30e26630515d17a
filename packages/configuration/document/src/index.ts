export * from './schema.js';
export type * from './ports.js';
