export * from './measure.js';
export * from './policies.js';
export * from './report.js';
export * from './sites.js';
