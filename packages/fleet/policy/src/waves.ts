/** Computes the order and the estimated finish of a maintenance wave. The fleet ledger executes the steps. */
import type {
	AvailabilityZone, InstanceId, PoolName, RackName,
} from '@turmericbay/types';

const millisecondsPerDay = 86_400_000;

export type WaveMember = {
	readonly instance: InstanceId;
	readonly pool: PoolName;
	readonly zone: AvailabilityZone;
	readonly rack: RackName;
	/** Wall-clock milliseconds; 0 if never maintained. */
	readonly maintainedAt: number;
};

export type WaveLimits = {
	readonly periodDays: number;
	readonly maximumUnavailablePerRack: number;
	readonly maximumUnavailablePerZone: number;
	readonly maximumUnavailablePerPool: Readonly<Record<PoolName, number>>;
	readonly maximumZonesAtOnce: number;
};

export type WavePlan = {
	/** Due instances, grouped by zone and rack. */
	readonly order: readonly InstanceId[];
	readonly steps: number;
	readonly estimatedFinish: number;
	/** Whether the wave can finish within the maintenance period. */
	readonly endsWithinPeriod: boolean;
};

const compareMembers = (left: WaveMember, right: WaveMember): number =>
	left.zone.localeCompare(right.zone) || left.rack.localeCompare(right.rack) || left.instance.localeCompare(right.instance);

/** Returns the members that remain after as many as the limits allow have been maintained at once. */
const removeNextRound = (waiting: readonly WaveMember[], limits: WaveLimits): WaveMember[] => {
	const unavailableByGroup = new Map<string, number>();
	const zones = new Set<AvailabilityZone>();
	return waiting.filter(member => {
		const groupLimits: Array<[string, number]> = [
			[`pool ${member.pool}`, limits.maximumUnavailablePerPool[member.pool] ?? 0],
			[`rack ${member.zone}/${member.rack}`, limits.maximumUnavailablePerRack],
			[`zone ${member.zone}`, limits.maximumUnavailablePerZone],
		];
		const isZoneAvailable = zones.has(member.zone) || zones.size < limits.maximumZonesAtOnce;
		if (!isZoneAvailable || groupLimits.some(([key, limit]) => (unavailableByGroup.get(key) ?? 0) >= limit)) {
			return true;
		}

		zones.add(member.zone);
		for (const [key] of groupLimits) {
			unavailableByGroup.set(key, (unavailableByGroup.get(key) ?? 0) + 1);
		}

		return false;
	});
};

/** Number of rounds of concurrent steps; undefined if the limits do not allow a step for one of the members. */
const countRounds = (members: readonly WaveMember[], limits: WaveLimits): number | undefined => {
	let waiting = members;
	let rounds = 0;
	while (waiting.length > 0) {
		const remaining = removeNextRound(waiting, limits);
		if (remaining.length === waiting.length) {
			return undefined;
		}

		waiting = remaining;
		rounds++;
	}

	return rounds;
};

export const planWave = (options: {
	readonly members: readonly WaveMember[];
	readonly limits: WaveLimits;
	readonly now: number;
	/** Typical duration of a step, from completed steps. */
	readonly stepMilliseconds: number;
}): WavePlan => {
	const {members, limits, now, stepMilliseconds} = options;
	const periodMilliseconds = limits.periodDays * millisecondsPerDay;
	const due = members.filter(member => now - member.maintainedAt >= periodMilliseconds).toSorted(compareMembers);
	const rounds = countRounds(due, limits) ?? Number.POSITIVE_INFINITY;
	const estimatedFinish = now + (rounds * stepMilliseconds);
	return {
		order: due.map(member => member.instance), steps: due.length, estimatedFinish, endsWithinPeriod: estimatedFinish - now <= periodMilliseconds,
	};
};

/** Number of zones that may be in maintenance at the same time. */
export const countZonesAtOnce = (zones: number, zonesAtOnceFraction: number): number =>
	Math.max(1, Math.floor(zones * zonesAtOnceFraction));
