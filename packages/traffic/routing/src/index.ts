export * from './routing-table.js';
