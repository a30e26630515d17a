/**
 * Decides what one holder changes in one team's row. Pure: the row and the
 * holder's usage go in, the new row and the holder's new number of units come out.
 */
import {hashText} from '@turmericbay/membership';
import type {AvailabilityZone, ProcessIdentity, TeamName} from '@turmericbay/types';
import {
	holderKey, sumUnits, withUnits,
} from './shard.js';
import type {TeamRow} from './shard.js';
import {wantedUnits} from './usage.js';
import type {TeamUsage} from './usage.js';

export type FleetView = {
	/** Live entry instances of each availability zone, sorted. */
	readonly entriesByZone: ReadonlyMap<AvailabilityZone, readonly string[]>;
	/** True if this process itself is in the platform's list. */
	readonly selfListed: boolean;
};

export type Donation = {
	readonly team: TeamName;
	readonly units: number;
	readonly to: ProcessIdentity;
	readonly zone: AvailabilityZone;
};

export type PlanContext = {
	readonly self: ProcessIdentity;
	readonly zone: AvailabilityZone;
	readonly fleet: FleetView;
	readonly draining: boolean;
	/** True if this holder tidies up for others, such as units of processes that are gone. */
	readonly tidies: boolean;
	/** Milliseconds since the process is proven gone; undefined without proof. */
	readonly goneFor: (identity: ProcessIdentity) => number | undefined;
};

export type TeamPlan = {
	row: TeamRow;
	/** Units of this holder after the change. */
	units: number;
	/** False if the change can wait until the shard is written for another reason. */
	worthWrite: boolean;
	given: Array<{readonly donation: Donation; readonly units: number}>;
	reclaimed: number;
	/** Units that the holder still lacks and the ledger does not have. */
	unmet: boolean;
	/** The holder has less than its part of the zone's floor. */
	belowBase: boolean;
	/** More units are held than the limit allows. */
	overLimit: boolean;
};

/**
 * Units that a zone keeps for itself: a tenth of the limit, at least one, so
 * that a zone that is cut off goes on serving every team.
 */
export const calculateZoneMinimum = (limit: number, zones: number): number => {
	const even = Math.floor(limit / Math.max(1, zones));
	return Math.min(even, Math.max(1, Math.floor(limit / 10)));
};

const offsets = new Map<TeamName, number>();

const offsetOf = (team: TeamName): number => {
	const offset = offsets.get(team) ?? hashText(`base|${team}`);
	offsets.set(team, offset);
	return offset;
};

/** This holder's part of its zone's floor; the remainder goes round by team. */
export const baseUnits = (options: {
	readonly team: TeamName;
	readonly floor: number;
	readonly entries: readonly string[];
	readonly instance: string;
}): number => {
	const {team, floor, entries, instance} = options;
	const position = entries.indexOf(instance);
	if (position === -1) {
		return 0;
	}

	const rank = (position + offsetOf(team)) % entries.length;
	return Math.floor(floor / entries.length) + (rank < floor % entries.length ? 1 : 0);
};

const unitsByZone = (row: TeamRow, fleet: FleetView): Map<AvailabilityZone, number> => {
	const zones = new Map<AvailabilityZone, number>();
	for (const zone of fleet.entriesByZone.keys()) {
		zones.set(zone, 0);
	}

	for (const {zone, units} of row.holdings.values()) {
		zones.set(zone, (zones.get(zone) ?? 0) + units);
	}

	return zones;
};

type Balance = {
	readonly limit: number;
	readonly floor: number;
	readonly base: number;
	readonly sum: number;
	readonly zoneUnits: number;
	/** Units that other zones lack to their floors. */
	readonly reserved: number;
};

const weigh = (row: TeamRow, team: TeamName, context: PlanContext): Balance => {
	const zones = unitsByZone(row, context.fleet);
	zones.set(context.zone, zones.get(context.zone) ?? 0);
	const floor = calculateZoneMinimum(row.limit, zones.size);
	let reserved = 0;
	for (const [zone, units] of zones) {
		if (zone !== context.zone && (context.fleet.entriesByZone.get(zone)?.length ?? 0) > 0) {
			reserved += Math.max(0, floor - units);
		}
	}

	return {
		limit: row.limit,
		floor,
		base: baseUnits({
			team, floor, entries: context.fleet.entriesByZone.get(context.zone) ?? [], instance: context.self.instance,
		}),
		sum: sumUnits(row),
		zoneUnits: zones.get(context.zone) ?? 0,
		reserved,
	};
};

const adoptLimit = (plan: TeamPlan, usage: TeamUsage, context: PlanContext): void => {
	if (usage.version > plan.row.version && usage.limit !== plan.row.limit) {
		plan.row = {...plan.row, limit: usage.limit, version: usage.version};
		plan.worthWrite ||= context.tidies && plan.row.holdings.size > 0;
	}
};

/** A list that does not even show this process proves nothing about others. */
const reclaim = (plan: TeamPlan, usage: TeamUsage, context: PlanContext): void => {
	if (!context.fleet.selfListed) {
		return;
	}

	for (const holding of plan.row.holdings.values()) {
		const goneFor = context.goneFor(holding.identity);
		if (goneFor !== undefined && goneFor >= usage.longestRunMilliseconds) {
			plan.row = withUnits(plan.row, {...holding, units: 0});
			plan.reclaimed += holding.units;
			plan.worthWrite ||= context.tidies;
		}
	}
};

/** Lowers the bound for new starts while the sum is too high or another zone lacks its floor. */
const setCap = (plan: TeamPlan, usage: TeamUsage, balance: Balance): void => {
	const free = balance.limit - balance.sum;
	if (free < 0) {
		const share = Math.ceil(-free * plan.units / balance.sum);
		usage.cap = Math.min(usage.cap, plan.units - share);
		plan.overLimit = true;
		return;
	}

	usage.suspendedUntil = Number.NEGATIVE_INFINITY;

	const spare = Math.min(plan.units - balance.base, balance.zoneUnits - balance.floor);
	const lacking = balance.reserved - free;
	usage.cap = lacking > 0 && spare > 0
		? plan.units - Math.min(spare, Math.ceil(lacking * plan.units / balance.sum))
		: Number.POSITIVE_INFINITY;
};

const donate = (options: {
	readonly plan: TeamPlan;
	readonly usage: TeamUsage;
	readonly balance: Balance;
	readonly donations: readonly Donation[];
	readonly context: PlanContext;
}): void => {
	const {plan, usage, balance, donations, context} = options;
	let zoneSpare = Math.max(0, balance.zoneUnits - balance.floor);
	for (const donation of donations) {
		const idle = Math.max(0, plan.units - usage.inUse);
		const isSameZone = donation.zone === context.zone;
		const lendable = Math.min(Math.ceil(idle / 2), isSameZone ? idle : zoneSpare);
		const units = balance.sum > balance.limit ? 0 : Math.min(donation.units, lendable);
		plan.given.push({donation, units});
		if (units === 0) {
			continue;
		}

		const before = plan.row.holdings.get(holderKey(donation.to))?.units ?? 0;
		plan.row = withUnits(plan.row, {identity: donation.to, zone: donation.zone, units: before + units});
		plan.units -= units;
		plan.worthWrite = true;
		zoneSpare -= isSameZone ? 0 : units;
	}
};

const giveBack = (plan: TeamPlan, usage: TeamUsage, balance: Balance, draining: boolean): void => {
	const wanted = draining ? 0 : Math.max(balance.base, wantedUnits(usage));
	const keep = Math.max(usage.inUse, Math.min(wanted, draining ? 0 : usage.cap));
	if (plan.units > keep) {
		plan.units = keep;
		plan.worthWrite = true;
	}
};

/** Doubles the holding while units are asked for in vain, but takes at most half of what is free. */
const grow = (plan: TeamPlan, usage: TeamUsage, balance: Balance, starved: boolean): void => {
	const free = balance.limit - balance.sum;
	const forZone = Math.max(balance.floor - balance.zoneUnits, free - balance.reserved);
	let taken = Math.max(0, Math.min(balance.base - plan.units, forZone, free));
	plan.belowBase = balance.base > plan.units + taken;
	if (starved && usage.inUse >= plan.units + taken) {
		const available = free - taken - balance.reserved;
		const lot = Math.min(Math.max(2, plan.units), Math.max(1, Math.floor(available / 2)), available);
		taken += Math.max(0, lot);
		plan.unmet = lot <= 0;
	}

	if (taken > 0) {
		plan.units += taken;
		plan.worthWrite = true;
	}
};

export const planTeam = (options: {
	readonly team: TeamName;
	readonly row: TeamRow;
	readonly usage: TeamUsage;
	/** A unit was asked for in vain and the caller waits to hear of a free one. */
	readonly starved: boolean;
	readonly donations: readonly Donation[];
	readonly context: PlanContext;
}): TeamPlan => {
	const {team, usage, donations, context} = options;
	const ownKey = holderKey(context.self);
	const before = options.row.holdings.get(ownKey)?.units ?? 0;
	const plan: TeamPlan = {
		row: options.row, units: before, worthWrite: false, given: [], reclaimed: 0, unmet: false, belowBase: false, overLimit: false,
	};
	adoptLimit(plan, usage, context);
	reclaim(plan, usage, context);
	const balance = weigh(plan.row, team, context);
	setCap(plan, usage, balance);
	donate({
		plan, usage, balance, donations, context,
	});
	giveBack(plan, usage, balance, context.draining);
	if (plan.units === before && !context.draining && context.fleet.selfListed) {
		grow(plan, usage, balance, options.starved);
	}

	if (plan.units !== before) {
		plan.row = withUnits(plan.row, {identity: context.self, zone: context.zone, units: plan.units});
	}

	return plan;
};
