/** Process launcher, callers and load generator for the demo, the fault tests and the capacity measurement. */
export * from './balancer.js';
export * from './child-process.js';
export * from './control-clients.js';
export * from './entry-settings.js';
export * from './fleet.js';
export * from './launcher.js';
export * from './load.js';
export * from './seeded-random.js';
export * from './send.js';
export * from './zone-links.js';
