export * from './retry-budget.js';
export * from './routing-table.js';
export * from './upstream.js';
