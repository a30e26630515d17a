export * from './faults.js';
export * from './load.js';
export * from './run-simulation.js';
export * from './schedules.js';
