export * from './faults.js';
export * from './load.js';
export * from './run-site.js';
export * from './schedules.js';
