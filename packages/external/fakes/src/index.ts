/** Fakes of the platform and of upstreams, for tests, fault tests and the demo. */
export * from './call-counters.js';
export * from './fault-injector.js';
export * from './instance-fleet.js';
export * from './key-value-engine.js';
export * from './memory-platform.js';
export * from './platform-control.js';
export * from './platform-server.js';
export * from './run-log.js';
export * from './service-discovery.js';
export {UpstreamFault} from './upstream-response.js';
export type {UpstreamFaultSetting} from './upstream-response.js';
export * from './upstream-control.js';
export * from './upstream-server.js';
