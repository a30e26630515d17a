/** Divides team limits among the entry instances. The README has an example. */
export {createGrantHolder} from './holder.js';
export type {GrantHolder, GrantHolderOptions} from './holder.js';
export type {GrantCounters} from './shard-store.js';
export {
	decodeShard, grantsPrefix, shardCount, shardKey, shardOf, sumUnits,
} from './shard.js';
export type {Holding, ShardTable, TeamRow} from './shard.js';
export type {TransferPeer} from './transfer-requests.js';
export type {TeamLimit} from './usage.js';
export {calculateZoneMinimum} from './plan.js';
