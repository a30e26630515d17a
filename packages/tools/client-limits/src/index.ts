export * from './crowds.js';
export * from './instance.js';
export * from './ordinary-request.js';
export * from './scenario.js';
export * from './usage.js';
