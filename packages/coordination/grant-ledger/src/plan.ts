/**
 * Plans the change that one holder makes to the row of one team. Pure functions:
 * the result is the new row and the holder's new number of units.
 */
import {hashText} from '@turmericbay/membership';
import type {AvailabilityZone, ProcessIdentity, TeamName} from '@turmericbay/types';
import type {EntryInstancesView} from './fleet-view.js';
import {
	holderKey, sumUnits, withUnits,
} from './shard.js';
import type {TeamRow} from './shard.js';
import {countWantedUnits} from './usage.js';
import type {TeamUsage} from './usage.js';

export type Transfer = {
	readonly team: TeamName;
	readonly units: number;
	readonly to: ProcessIdentity;
	readonly zone: AvailabilityZone;
};

export type PlanContext = {
	readonly self: ProcessIdentity;
	readonly zone: AvailabilityZone;
	readonly fleet: EntryInstancesView;
	readonly draining: boolean;
	/** True for the one holder that writes changes of limits and reclaimed units to this shard without another reason to write. */
	readonly maintainsShard: boolean;
	/** Time since the process has been proven gone; undefined without proof. */
	readonly goneMilliseconds: (identity: ProcessIdentity) => number | undefined;
};

export type TeamPlan = {
	row: TeamRow;
	/** Units of this holder after the change. */
	units: number;
	/** False if the change can wait until the shard is written for another reason. */
	needsWrite: boolean;
	transferred: Array<{readonly transfer: Transfer; readonly units: number}>;
	reclaimed: number;
	/** The holder lacks units that the ledger does not have free. */
	hasUnmetDemand: boolean;
	/** The holder has less than its share of the zone minimum. */
	isBelowMinimum: boolean;
	/** More units are held than the limit allows. */
	isOverLimit: boolean;
};

/**
 * Units reserved for each zone, so that a zone that is cut off continues to serve
 * every team: a tenth of the limit and at least one, but no more than an even share.
 */
export const calculateZoneMinimum = (limit: number, zones: number): number => {
	const evenShare = Math.floor(limit / Math.max(1, zones));
	return Math.min(evenShare, Math.max(1, Math.floor(limit / 10)));
};

const remainderOffsets = new Map<TeamName, number>();

const remainderOffsetOf = (team: TeamName): number => {
	// All holders have to use the same text; it must not change while versions run side by side.
	const offset = remainderOffsets.get(team) ?? hashText(`base|${team}`);
	remainderOffsets.set(team, offset);
	return offset;
};

/** This holder's share of the zone minimum. Which holders get the remainder depends on the team. */
export const calculateHolderMinimum = (options: {
	readonly team: TeamName;
	readonly zoneMinimum: number;
	readonly entries: readonly string[];
	readonly instance: string;
}): number => {
	const {team, zoneMinimum, entries, instance} = options;
	const position = entries.indexOf(instance);
	if (position === -1) {
		return 0;
	}

	const rank = (position + remainderOffsetOf(team)) % entries.length;
	return Math.floor(zoneMinimum / entries.length) + (rank < zoneMinimum % entries.length ? 1 : 0);
};

const countUnitsByZone = (row: TeamRow, fleet: EntryInstancesView): Map<AvailabilityZone, number> => {
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
	readonly zoneMinimum: number;
	readonly holderMinimum: number;
	readonly sum: number;
	readonly zoneUnits: number;
	/** Units that other zones need to reach their minimum. */
	readonly reserved: number;
};

const computeBalance = (row: TeamRow, team: TeamName, context: PlanContext): Balance => {
	const zones = countUnitsByZone(row, context.fleet);
	zones.set(context.zone, zones.get(context.zone) ?? 0);
	const zoneMinimum = calculateZoneMinimum(row.limit, zones.size);
	let reserved = 0;
	for (const [zone, units] of zones) {
		if (zone !== context.zone && (context.fleet.entriesByZone.get(zone)?.length ?? 0) > 0) {
			reserved += Math.max(0, zoneMinimum - units);
		}
	}

	return {
		limit: row.limit,
		zoneMinimum,
		holderMinimum: calculateHolderMinimum({
			team, zoneMinimum, entries: context.fleet.entriesByZone.get(context.zone) ?? [], instance: context.self.instance,
		}),
		sum: sumUnits(row),
		zoneUnits: zones.get(context.zone) ?? 0,
		reserved,
	};
};

const applyLimit = (plan: TeamPlan, usage: TeamUsage, context: PlanContext): void => {
	if (usage.version > plan.row.version && usage.limit !== plan.row.limit) {
		plan.row = {...plan.row, limit: usage.limit, version: usage.version};
		plan.needsWrite ||= context.maintainsShard && plan.row.holdings.size > 0;
	}
};

/** Removes the units of processes that are gone. An instance list without this process is no proof that others are gone. */
const reclaimUnits = (plan: TeamPlan, usage: TeamUsage, context: PlanContext): void => {
	if (!context.fleet.isSelfListed) {
		return;
	}

	for (const holding of plan.row.holdings.values()) {
		const goneMilliseconds = context.goneMilliseconds(holding.identity);
		if (goneMilliseconds !== undefined && goneMilliseconds >= usage.longestRunMilliseconds) {
			plan.row = withUnits(plan.row, {...holding, units: 0});
			plan.reclaimed += holding.units;
			plan.needsWrite ||= context.maintainsShard;
		}
	}
};

/** Limits new starts while more units are held than the limit allows or another zone is below its minimum. */
const updateStartLimit = (plan: TeamPlan, usage: TeamUsage, balance: Balance): void => {
	const free = balance.limit - balance.sum;
	if (free < 0) {
		const share = Math.ceil(-free * plan.units / balance.sum);
		usage.startLimit = Math.min(usage.startLimit, plan.units - share);
		plan.isOverLimit = true;
		return;
	}

	// The ledger is within the limit, so starts need not be suspended any longer.
	usage.suspendedUntil = Number.NEGATIVE_INFINITY;

	const spare = Math.min(plan.units - balance.holderMinimum, balance.zoneUnits - balance.zoneMinimum);
	const shortfall = balance.reserved - free;
	usage.startLimit = shortfall > 0 && spare > 0
		? plan.units - Math.min(spare, Math.ceil(shortfall * plan.units / balance.sum))
		: Number.POSITIVE_INFINITY;
};

/** Transfers at most half of the idle units at a time; to another zone, only units above the minimum of this one. */
const transferUnits = (options: {
	readonly plan: TeamPlan;
	readonly usage: TeamUsage;
	readonly balance: Balance;
	readonly transfers: readonly Transfer[];
	readonly context: PlanContext;
}): void => {
	const {plan, usage, balance, transfers, context} = options;
	let zoneSpare = Math.max(0, balance.zoneUnits - balance.zoneMinimum);
	for (const transfer of transfers) {
		const idle = Math.max(0, plan.units - usage.inUse);
		const isSameZone = transfer.zone === context.zone;
		const transferable = Math.min(Math.ceil(idle / 2), isSameZone ? idle : zoneSpare);
		const units = balance.sum > balance.limit ? 0 : Math.min(transfer.units, transferable);
		plan.transferred.push({transfer, units});
		if (units === 0) {
			continue;
		}

		const before = plan.row.holdings.get(holderKey(transfer.to))?.units ?? 0;
		plan.row = withUnits(plan.row, {identity: transfer.to, zone: transfer.zone, units: before + units});
		plan.units -= units;
		plan.needsWrite = true;
		zoneSpare -= isSameZone ? 0 : units;
	}
};

const returnIdleUnits = (plan: TeamPlan, usage: TeamUsage, balance: Balance, draining: boolean): void => {
	const wanted = draining ? 0 : Math.max(balance.holderMinimum, countWantedUnits(usage));
	const keep = Math.max(usage.inUse, Math.min(wanted, draining ? 0 : usage.startLimit));
	if (plan.units > keep) {
		plan.units = keep;
		plan.needsWrite = true;
	}
};

/** Doubles the units of the holder (at least two more) while callers wait, but takes at most half of the free ones. */
const takeUnits = (plan: TeamPlan, usage: TeamUsage, balance: Balance, isWaiting: boolean): void => {
	const free = balance.limit - balance.sum;
	const availableToZone = Math.max(balance.zoneMinimum - balance.zoneUnits, free - balance.reserved);
	let taken = Math.max(0, Math.min(balance.holderMinimum - plan.units, availableToZone, free));
	plan.isBelowMinimum = balance.holderMinimum > plan.units + taken;
	if (isWaiting && usage.inUse >= plan.units + taken) {
		const available = free - taken - balance.reserved;
		const increment = Math.min(Math.max(2, plan.units), Math.max(1, Math.floor(available / 2)), available);
		taken += Math.max(0, increment);
		plan.hasUnmetDemand = increment <= 0;
	}

	if (taken > 0) {
		plan.units += taken;
		plan.needsWrite = true;
	}
};

export const planTeam = (options: {
	readonly team: TeamName;
	readonly row: TeamRow;
	readonly usage: TeamUsage;
	/** A caller waits for a free unit. */
	readonly isWaiting: boolean;
	readonly transfers: readonly Transfer[];
	readonly context: PlanContext;
}): TeamPlan => {
	const {team, usage, transfers, context} = options;
	const ownKey = holderKey(context.self);
	const before = options.row.holdings.get(ownKey)?.units ?? 0;
	const plan: TeamPlan = {
		row: options.row, units: before, needsWrite: false, transferred: [], reclaimed: 0, hasUnmetDemand: false, isBelowMinimum: false, isOverLimit: false,
	};
	applyLimit(plan, usage, context);
	reclaimUnits(plan, usage, context);
	const balance = computeBalance(plan.row, team, context);
	updateStartLimit(plan, usage, balance);
	transferUnits({
		plan, usage, balance, transfers, context,
	});
	returnIdleUnits(plan, usage, balance, context.draining);
	if (plan.units === before && !context.draining && context.fleet.isSelfListed) {
		takeUnits(plan, usage, balance, options.isWaiting);
	}

	if (plan.units !== before) {
		plan.row = withUnits(plan.row, {identity: context.self, zone: context.zone, units: plan.units});
	}

	return plan;
};
