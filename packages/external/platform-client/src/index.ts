/** Adapters for the platform's services over their public protocols. */
export * from './counting-store.js';
export * from './etcd-key-value-store.js';
export type {PlatformClientSettings} from './http-caller.js';
export * from './http-instance-control.js';
export * from './service-discovery-instance-list.js';
