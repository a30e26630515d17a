export * from './fault-case.js';
export * from './runner.js';
