export * from './authorization.js';
export * from './fair-queue.js';
export * from './fair-queue-class.js';
export * from './overload.js';
export * from './run-time.js';
