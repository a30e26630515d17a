export * from './simulation.js';
export * from './store.js';
export * from './fleet.js';
export * from './scenario.js';
