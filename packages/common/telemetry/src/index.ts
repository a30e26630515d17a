export * from './bounded-output.js';
export * from './log-events.js';
export * from './logger.js';
export * from './metrics.js';
export * from './tracing.js';
