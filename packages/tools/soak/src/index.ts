export * from './proxy.js';
export * from './soak.js';
