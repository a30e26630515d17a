/** Idempotency keys: the request of each key is sent to an upstream at most once. The README has an example. */
export {createClaims} from './claims.js';
export type {Claims, ClaimsOptions, ClaimsStatus} from './claims.js';
export {
	classifyKeyAge, createTicket, KeyAge, maximumKeyAgeMilliseconds, parseKey, partitionCount,
} from './key.js';
export type {ParsedKey} from './key.js';
export {Verdict} from './messages.js';
export type {ClaimMessage, ClaimPeer, SettleMessage} from './messages.js';
export type {StoreCounters} from './write-slot.js';
