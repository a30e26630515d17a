export * from './entry-model.js';
export * from './simulation.js';
