/**
 * State of one holder: its usage of each team's units and its copy of the shards.
 * Does no I/O: `takeCommand` returns the next store call of a shard, and `finish`
 * processes its outcome.
 */
import type {RandomSource, TeamName} from '@turmericbay/types';
import {planTeam} from './plan.js';
import type {PlanContext, TeamPlan} from './plan.js';
import {backOff, createShard} from './shard-state.js';
import type {
	LedgerCommand, LedgerOutcome, PendingTransfer, ShardState, WriteCommand,
} from './shard-state.js';
import {
	emptyRow, encodeShard, holdersOf, shardCount, shardOf,
} from './shard.js';
import type {ShardTable, TeamRow} from './shard.js';
import {advanceUsageWindow, createUsage} from './usage.js';
import type {TeamUsage} from './usage.js';

/** A holder that lacks units reads the shard again, before it sends requests to peers, if its last read is older. */
const staleReadMilliseconds = 1000;
/** A holder below its minimum reads the shard at this interval, since it is not notified of returned units. */
const belowMinimumReadIntervalMilliseconds = 15_000;
/** Time between reads of a shard by the holder that maintains it, and by the others. */
const maintainerReadIntervalMilliseconds = 10_000;
const readIntervalMilliseconds = 60_000;
const fullPlanIntervalMilliseconds = 1000;

type ShardPlan = {
	readonly plans: ReadonlyMap<TeamName, TeamPlan>;
	readonly table: ShardTable;
	readonly needsWrite: boolean;
	readonly unmetTeams: readonly TeamName[];
};

export type Ledger = ReturnType<typeof createLedger>;

export const createLedger = (options: {readonly random: RandomSource}) => {
	const {random} = options;
	const usages = new Map<TeamName, TeamUsage>();
	const shards = Array.from({length: shardCount}, createShard);
	const teamsByShard = Array.from({length: shardCount}, () => new Set<TeamName>());
	const unmetDemand = new Map<TeamName, TeamRow>();
	/** Teams for which a caller waits to be notified of a free unit. */
	const waitingTeams = new Set<TeamName>();
	let reclaimedUnits = 0;

	const usageOf = (team: TeamName): TeamUsage => {
		let usage = usages.get(team);
		if (!usage) {
			usage = createUsage();
			usages.set(team, usage);
			teamsByShard[shardOf(team)]!.add(team);
		}

		return usage;
	};

	/** Sets the units held to those in the ledger. Not allowed while a write without a response may still change the shard. */
	const updateHeldUnits = (index: number, ownKey: string) => {
		const shard = shards[index]!;
		for (const team of shard.table.keys()) {
			usageOf(team);
		}

		for (const team of teamsByShard[index]!) {
			usages.get(team)!.held = shard.table.get(team)?.holdings.get(ownKey)?.units ?? 0;
		}
	};

	const isTeamUrgent = (shard: ShardState, team: TeamName) => waitingTeams.has(team)
		|| shard.pendingTransfers.some(({transfer}) => transfer.team === team);

	/** Between two full plans only teams with a waiting caller or transfer are planned. */
	const planShard = (index: number, context: PlanContext, options: {now: number; full: boolean}): ShardPlan => {
		const {now, full} = options;
		const shard = shards[index]!;
		const plans = new Map<TeamName, TeamPlan>();
		const table = new Map(shard.table);
		const unmetTeams: TeamName[] = [];
		let needsWrite = false;
		for (const team of teamsByShard[index]!) {
			const usage = usages.get(team)!;
			if (!full && !isTeamUrgent(shard, team)) {
				continue;
			}

			advanceUsageWindow(usage, now);
			const plan = planTeam({
				team,
				row: shard.table.get(team) ?? emptyRow,
				usage,
				isWaiting: waitingTeams.has(team),
				transfers: shard.pendingTransfers.filter(({transfer}) => transfer.team === team).map(({transfer}) => transfer),
				context,
			});
			plans.set(team, plan);
			table.set(team, plan.row);
			needsWrite ||= plan.needsWrite;
			if (plan.hasUnmetDemand) {
				unmetTeams.push(team);
			}
		}

		return {
			plans, table, needsWrite, unmetTeams,
		};
	};

	const lowerHeldUnits = (plans: ReadonlyMap<TeamName, TeamPlan>): Map<TeamName, number> => {
		const heldBefore = new Map<TeamName, number>();
		for (const [team, {units}] of plans) {
			const usage = usages.get(team)!;
			if (units < usage.held) {
				heldBefore.set(team, usage.held);
				usage.held = units;
			}
		}

		return heldBefore;
	};

	/** Refuses transfers that get no units; the others are answered after the write. */
	const respondToTransfers = (shard: ShardState, plans: ReadonlyMap<TeamName, TeamPlan>) => {
		const responses: Array<{pending: PendingTransfer; units: number}> = [];
		for (const pending of shard.pendingTransfers) {
			const transferred = plans.get(pending.transfer.team)?.transferred.find(({transfer}) => transfer === pending.transfer);
			if (transferred && transferred.units > 0) {
				responses.push({pending, units: transferred.units});
			} else {
				pending.respond(0);
			}
		}

		shard.pendingTransfers = [];
		return responses;
	};

	const updateUnmetDemand = (shard: ShardState, plan: ShardPlan, now: number) => {
		const age = now - (shard.readAt ?? Number.NEGATIVE_INFINITY);
		for (const [team, {isBelowMinimum, isOverLimit}] of plan.plans) {
			unmetDemand.delete(team);
			shard.needsRead ||= (isBelowMinimum && age > belowMinimumReadIntervalMilliseconds) || (isOverLimit && age > staleReadMilliseconds);
		}

		for (const team of plan.unmetTeams) {
			if (age > staleReadMilliseconds) {
				shard.needsRead = true;
			} else {
				unmetDemand.set(team, plan.table.get(team)!);
			}
		}
	};

	const planWrite = (index: number, context: PlanContext, options: {now: number; full: boolean}): LedgerCommand | undefined => {
		const shard = shards[index]!;
		const shardPlan = planShard(index, context, options);
		updateUnmetDemand(shard, shardPlan, options.now);
		const responses = respondToTransfers(shard, shardPlan.plans);
		// A write without a response is fenced off by another write on the same revision, even if nothing changes.
		if (!shardPlan.needsWrite && shard.uncertainRevision === undefined) {
			return undefined;
		}

		let reclaimed = 0;
		for (const team of shardPlan.plans.values()) {
			reclaimed += team.reclaimed;
		}

		return {
			type: 'write',
			shard: index,
			value: encodeShard(shardPlan.table),
			revision: shard.revision,
			table: shardPlan.table,
			heldBefore: lowerHeldUnits(shardPlan.plans),
			responses,
			reclaimed,
		};
	};

	const isUrgent = (index: number) => shards[index]!.pendingTransfers.length > 0
		|| [...waitingTeams].some(team => teamsByShard[index]!.has(team));

	const isDueForRead = (shard: ShardState, maintainsShard: boolean, now: number) => shard.needsRead
		|| now - (shard.readAt ?? Number.NEGATIVE_INFINITY) > (maintainsShard ? maintainerReadIntervalMilliseconds : readIntervalMilliseconds);

	const finishWrite = (command: WriteCommand, outcome: LedgerOutcome, context: {ownKey: string; now: number}) => {
		const shard = shards[command.shard]!;
		if (outcome.type === 'committed') {
			shard.table = command.table;
			shard.revision = outcome.revision;
			shard.uncertainRevision = undefined;
			shard.failures = 0;
			reclaimedUnits += command.reclaimed;
			updateHeldUnits(command.shard, context.ownKey);
			for (const {pending, units} of command.responses) {
				pending.respond(units);
			}

			return;
		}

		for (const {pending} of command.responses) {
			pending.respond(0);
		}

		shard.needsRead = true;
		backOff(shard, context.now, random);
		if (outcome.type === 'unknown') {
			shard.uncertainRevision = command.revision;
		} else if (shard.uncertainRevision === undefined) {
			for (const [team, units] of command.heldBefore) {
				usages.get(team)!.held = units;
			}
		}
	};

	const finishRead = (index: number, outcome: LedgerOutcome, context: {ownKey: string; now: number}) => {
		const shard = shards[index]!;
		if (outcome.type !== 'read') {
			shard.needsRead = true;
			backOff(shard, context.now, random);
			return;
		}

		shard.table = outcome.table;
		shard.revision = outcome.revision;
		shard.readAt = context.now;
		shard.nextFullPlanAt = Number.NEGATIVE_INFINITY;
		if (shard.uncertainRevision !== undefined && outcome.revision !== shard.uncertainRevision) {
			shard.uncertainRevision = undefined;
		}

		if (shard.uncertainRevision === undefined) {
			updateHeldUnits(index, context.ownKey);
		}
	};

	return {
		usages,
		usageOf,
		waitingTeams,
		/** Teams that lack units although the ledger has none free, with their holders. */
		unmetDemand,
		reclaimedUnits: () => reclaimedUnits,
		tables: () => shards.map(shard => shard.table),
		isUnread: () => shards.every(shard => shard.readAt === undefined && !shard.busy),
		isBusy: () => shards.some(shard => shard.busy),
		requestRead(team: TeamName) {
			shards[shardOf(team)]!.needsRead = true;
		},
		addTransfer(pending: PendingTransfer) {
			usageOf(pending.transfer.team);
			shards[shardOf(pending.transfer.team)]!.pendingTransfers.push(pending);
		},
		expireTransfers(now: number) {
			for (const shard of shards) {
				for (const pending of shard.pendingTransfers.filter(({deadline}) => deadline <= now)) {
					pending.respond(0);
				}

				shard.pendingTransfers = shard.pendingTransfers.filter(({deadline}) => deadline > now);
			}
		},
		/** The next store call for this shard, if one is due. The shard is busy until `finish`. */
		takeCommand(index: number, context: PlanContext, now: number): LedgerCommand | undefined {
			const shard = shards[index]!;
			if (shard.busy || now < shard.retryAt) {
				return undefined;
			}

			let command: LedgerCommand | undefined;
			if (isDueForRead(shard, context.maintainsShard, now)) {
				// Cleared before the call: a read requested from now on needs a later answer than this one.
				shard.needsRead = false;
				command = {type: 'read', shard: index};
			} else if (now >= shard.nextFullPlanAt || context.draining || isUrgent(index)) {
				const full = now >= shard.nextFullPlanAt || context.draining;
				shard.nextFullPlanAt = full ? now + fullPlanIntervalMilliseconds : shard.nextFullPlanAt;
				command = planWrite(index, context, {now, full});
			}

			shard.busy = command !== undefined;
			return command;
		},
		finish(command: LedgerCommand, outcome: LedgerOutcome, context: {readonly ownKey: string; readonly now: number}) {
			shards[command.shard]!.busy = false;
			if (command.type === 'write') {
				finishWrite(command, outcome, context);
			} else {
				finishRead(command.shard, outcome, context);
			}
		},
		holders: () => new Map(shards.flatMap(shard => [...holdersOf(shard.table)])),
	};
};

export type {LedgerCommand, LedgerOutcome} from './shard-state.js';
