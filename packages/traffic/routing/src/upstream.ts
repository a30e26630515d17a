/** State of one upstream as seen from one entry instance, and the requests it may still get. */
import type {
	AvailabilityZone, InstanceId, InstanceRecord, PoolName,
} from '@turmericbay/types';

export type PoolLimits = {
	readonly slotsPerInstance: number;
	readonly connectionsPerInstance: number;
	readonly maximumUnavailable: number;
};

/** Load that another entry instance (peer) reported last. */
export type PeerLoad = {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly pools: ReadonlyArray<{readonly pool: PoolName; readonly queued: number; readonly inFlight: number}>;
	readonly upstreams: ReadonlyArray<{readonly instance: InstanceId; readonly inFlight: number}>;
};

export enum AttemptResult {
	Success = 'success',
	Failure = 'failure',
	/** Says nothing about the health of the upstream. */
	Neutral = 'neutral',
}

export type Upstream = {
	record: InstanceRecord;
	ownInFlight: number;
	/** Own requests that ended without a response while the upstream may still be running them. */
	abandonedInFlight: number;
	/** Requests in flight according to the last reports of all peers. */
	peersInFlight: number;
	consecutiveFailures: number;
	/** Ejections since the last success. */
	ejections: number;
	/** Monotonic time; undefined while not ejected. */
	ejectedUntil: number | undefined;
};

export const createUpstream = (record: InstanceRecord, peersInFlight: number): Upstream => ({
	record,
	ownInFlight: 0,
	abandonedInFlight: 0,
	peersInFlight,
	consecutiveFailures: 0,
	ejections: 0,
	ejectedUntil: undefined,
});

export const isEjected = (upstream: Upstream, now: number): boolean =>
	upstream.ejectedUntil !== undefined && now < upstream.ejectedUntil;

const countOwnRequests = ({ownInFlight, abandonedInFlight}: Upstream): number => ownInFlight + abandonedInFlight;

/** Slots that no entry instance is known to use. */
export const computeHeadroom = (upstream: Upstream, limits: PoolLimits): number =>
	Math.max(0, limits.slotsPerInstance - countOwnRequests(upstream) - upstream.peersInFlight);

/**
 * Slots of an upstream in another zone that are left to the entry instances of
 * that zone. The peers' reports may be some seconds old: using the last slots would overload the upstream, with no gain while all zones are full.
 */
const slotsReservedForLocalInstances = 1;

export type Locality
	/** In the own zone. `sharingInstances` counts the entry instances there with requests for the pool, this one included. */
	= | {readonly type: 'local'; readonly sharingInstances: number}
		/** In another zone. */
		| {readonly type: 'remote'};

/**
 * Further requests that this entry instance may send to the upstream. It may
 * always use an even share of the slots of a local upstream: the peers' reports
 * may be some seconds old, and without that minimum an instance
 * whose peers use all slots could starve.
 */
export const computeAllowance = (upstream: Upstream, limits: PoolLimits, locality: Locality): number => {
	const headroom = computeHeadroom(upstream, limits);
	const bySlots = locality.type === 'remote'
		? headroom - slotsReservedForLocalInstances
		: Math.max(headroom, Math.max(1, Math.floor(limits.slotsPerInstance / locality.sharingInstances)) - countOwnRequests(upstream));
	const byConnections = limits.connectionsPerInstance - countOwnRequests(upstream) - upstream.peersInFlight;
	return Math.max(0, Math.min(bySlots, byConnections));
};

/** Upper limit of the failures in a row that count as load. */
const maximumFailurePenalty = 8;

/** Failures count as load, because an upstream that fails immediately would otherwise look idle and attract the most requests. */
export const computeLoad = (upstream: Upstream): number =>
	countOwnRequests(upstream) + upstream.peersInFlight + Math.min(maximumFailurePenalty, upstream.consecutiveFailures);
