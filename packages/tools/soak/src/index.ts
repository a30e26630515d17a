export {runCluster, sleep} from './cluster.js';
export type {Cluster, ClusterReport, PlatformReport} from './cluster.js';
export * from './proxy.js';
export * from './soak.js';
