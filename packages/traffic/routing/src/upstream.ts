/** One upstream as seen from one entry instance. */
import type {
	AvailabilityZone, InstanceId, InstanceRecord, PoolName,
} from '@turmericbay/types';

export type PoolLimits = {
	readonly slotsPerInstance: number;
	readonly connectionsPerInstance: number;
	readonly maximumUnavailable: number;
};

/** What one other entry instance reported in its last exchange. */
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
	/** Requests whose connection broke, while the upstream may still be running them. */
	abandonedInFlight: number;
	/** Sum over the last reports of all peers. */
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

/** Slots that nobody is known to use. */
export const computeHeadroom = (upstream: Upstream, limits: PoolLimits): number =>
	Math.max(0, limits.slotsPerInstance - countOwnRequests(upstream) - upstream.peersInFlight);

/**
 * Slots of an upstream in another zone that stay free for the entry instances
 * there. Reports are up to a tick old; taking the last slots on their word
 * overruns the upstream without any gain while all zones are full.
 */
const slotsReservedForLocalInstances = 1;

export type Locality
	/** Entry instances, this one included, that have the upstream in their own zone and work for it. */
	= | {readonly type: 'local'; readonly sharingInstances: number}
		| {readonly type: 'remote'};

/**
 * Requests that this entry instance may still send to the upstream. In its own
 * zone it may always use an even part of the slots: reports of peers are up to a
 * tick old, and without that floor an instance that comes late could starve.
 */
export const computeAllowance = (upstream: Upstream, limits: PoolLimits, locality: Locality): number => {
	const headroom = computeHeadroom(upstream, limits);
	const bySlots = locality.type === 'remote'
		? headroom - slotsReservedForLocalInstances
		: Math.max(headroom, Math.max(1, Math.floor(limits.slotsPerInstance / locality.sharingInstances)) - countOwnRequests(upstream));
	const byConnections = limits.connectionsPerInstance - countOwnRequests(upstream) - upstream.peersInFlight;
	return Math.max(0, Math.min(bySlots, byConnections));
};

/** Most that one failing upstream counts as loaded beyond its requests. */
const maximumFailurePenalty = 8;

/** Without the penalty, an upstream that fails at once would always look idle and draw the most traffic. */
export const computeLoad = (upstream: Upstream): number =>
	countOwnRequests(upstream) + upstream.peersInFlight + Math.min(maximumFailurePenalty, upstream.consecutiveFailures);
