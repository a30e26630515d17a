export * from './budgets.js';
export type * from './build-view.js';
export type * from './events.js';
export * from './ledger.js';
export * from './propose.js';
export * from './state.js';
export * from './view.js';
