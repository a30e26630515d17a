/**
 * Decision core of one holder: the tables of its usage and of the shards, and
 * the systems that run over them. It does no I/O; `takeCommand` says which call
 * on the store comes next and `finish` takes its outcome.
 */
import type {RandomSource, TeamName} from '@turmericbay/types';
import {planTeam} from './plan.js';
import type {PlanContext, TeamPlan} from './plan.js';
import {backOff, createShard} from './shard-state.js';
import type {
	LedgerCommand, LedgerOutcome, PendingDonation, ShardState, WriteCommand,
} from './shard-state.js';
import {
	emptyRow, encodeShard, holdersOf, shardCount, shardOf,
} from './shard.js';
import type {ShardTable, TeamRow} from './shard.js';
import {createUsage, rollWindow} from './usage.js';
import type {TeamUsage} from './usage.js';

/** A holder in need reads again before it asks peers if what it knows is older. */
const staleMilliseconds = 1000;
/** A holder below its base reads again after this time, since nobody tells it of freed units. */
const belowBaseMilliseconds = 15_000;
const tidyIntervalMilliseconds = 10_000;
const refreshIntervalMilliseconds = 60_000;
const planIntervalMilliseconds = 1000;

type ShardPlan = {
	readonly plans: ReadonlyMap<TeamName, TeamPlan>;
	readonly table: ShardTable;
	readonly worthWrite: boolean;
	readonly unmet: readonly TeamName[];
};

export type Ledger = ReturnType<typeof createLedger>;

export const createLedger = (options: {readonly random: RandomSource}) => {
	const {random} = options;
	const usages = new Map<TeamName, TeamUsage>();
	const shards = Array.from({length: shardCount}, createShard);
	const teamsByShard = Array.from({length: shardCount}, () => new Set<TeamName>());
	const unmet = new Map<TeamName, TeamRow>();
	/** Teams of which a caller waits to hear of a free unit. */
	const starved = new Set<TeamName>();
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

	/** The ledger's count is the holder's own unless a write without an answer can still change it. */
	const takeOverCounts = (index: number, ownKey: string) => {
		const shard = shards[index]!;
		for (const team of shard.table.keys()) {
			usageOf(team);
		}

		for (const team of teamsByShard[index]!) {
			usages.get(team)!.held = shard.table.get(team)?.holdings.get(ownKey)?.units ?? 0;
		}
	};

	const isTeamUrgent = (shard: ShardState, team: TeamName) => starved.has(team)
		|| shard.donations.some(({donation}) => donation.team === team);

	/** Between two full plans only the teams for which somebody waits are planned. */
	const planShard = (index: number, context: PlanContext, options: {now: number; full: boolean}): ShardPlan => {
		const {now, full} = options;
		const shard = shards[index]!;
		const plans = new Map<TeamName, TeamPlan>();
		const table = new Map(shard.table);
		const lacking: TeamName[] = [];
		let worthWrite = false;
		for (const team of teamsByShard[index]!) {
			const usage = usages.get(team)!;
			if (!full && !isTeamUrgent(shard, team)) {
				continue;
			}

			rollWindow(usage, now);
			const plan = planTeam({
				team,
				row: shard.table.get(team) ?? emptyRow,
				usage,
				starved: starved.has(team),
				donations: shard.donations.filter(({donation}) => donation.team === team).map(({donation}) => donation),
				context,
			});
			plans.set(team, plan);
			table.set(team, plan.row);
			worthWrite ||= plan.worthWrite;
			if (plan.unmet) {
				lacking.push(team);
			}
		}

		return {
			plans, table, worthWrite, unmet: lacking,
		};
	};

	const lowerCounts = (plans: ReadonlyMap<TeamName, TeamPlan>): Map<TeamName, number> => {
		const lowered = new Map<TeamName, number>();
		for (const [team, {units}] of plans) {
			const usage = usages.get(team)!;
			if (units < usage.held) {
				lowered.set(team, usage.held);
				usage.held = units;
			}
		}

		return lowered;
	};

	const answerDonations = (shard: ShardState, plans: ReadonlyMap<TeamName, TeamPlan>) => {
		const answers: Array<{pending: PendingDonation; units: number}> = [];
		for (const pending of shard.donations) {
			const given = plans.get(pending.donation.team)?.given.find(({donation}) => donation === pending.donation);
			if (given && given.units > 0) {
				answers.push({pending, units: given.units});
			} else {
				pending.answer(0);
			}
		}

		shard.donations = [];
		return answers;
	};

	const noteUnmet = (shard: ShardState, plan: ShardPlan, now: number) => {
		const age = now - (shard.readAt ?? Number.NEGATIVE_INFINITY);
		for (const [team, {belowBase, overLimit}] of plan.plans) {
			unmet.delete(team);
			shard.needsRead ||= (belowBase && age > belowBaseMilliseconds) || (overLimit && age > staleMilliseconds);
		}

		for (const team of plan.unmet) {
			if (age > staleMilliseconds) {
				shard.needsRead = true;
			} else {
				unmet.set(team, plan.table.get(team)!);
			}
		}
	};

	const plan = (index: number, context: PlanContext, options: {now: number; full: boolean}): LedgerCommand | undefined => {
		const shard = shards[index]!;
		const shardPlan = planShard(index, context, options);
		noteUnmet(shard, shardPlan, options.now);
		const answers = answerDonations(shard, shardPlan.plans);
		if (!shardPlan.worthWrite && shard.uncertainRevision === undefined) {
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
			lowered: lowerCounts(shardPlan.plans),
			answers,
			reclaimed,
		};
	};

	const isUrgent = (index: number) => shards[index]!.donations.length > 0
		|| [...starved].some(team => teamsByShard[index]!.has(team));

	const isDueForRead = (shard: ShardState, tidies: boolean, now: number) => shard.needsRead
		|| now - (shard.readAt ?? Number.NEGATIVE_INFINITY) > (tidies ? tidyIntervalMilliseconds : refreshIntervalMilliseconds);

	const finishWrite = (command: WriteCommand, outcome: LedgerOutcome, context: {ownKey: string; now: number}) => {
		const shard = shards[command.shard]!;
		if (outcome.type === 'committed') {
			shard.table = command.table;
			shard.revision = outcome.revision;
			shard.uncertainRevision = undefined;
			shard.failures = 0;
			reclaimedUnits += command.reclaimed;
			takeOverCounts(command.shard, context.ownKey);
			for (const {pending, units} of command.answers) {
				pending.answer(units);
			}

			return;
		}

		for (const {pending} of command.answers) {
			pending.answer(0);
		}

		shard.needsRead = true;
		backOff(shard, context.now, random);
		if (outcome.type === 'unknown') {
			shard.uncertainRevision = command.revision;
		} else if (shard.uncertainRevision === undefined) {
			for (const [team, units] of command.lowered) {
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
		shard.planAt = Number.NEGATIVE_INFINITY;
		if (shard.uncertainRevision !== undefined && outcome.revision !== shard.uncertainRevision) {
			shard.uncertainRevision = undefined;
		}

		if (shard.uncertainRevision === undefined) {
			takeOverCounts(index, context.ownKey);
		}
	};

	return {
		usages,
		usageOf,
		starved,
		/** Teams in need for which the ledger has nothing free, with what is known of their holders. */
		unmet,
		reclaimedUnits: () => reclaimedUnits,
		tables: () => shards.map(shard => shard.table),
		isUnread: () => shards.every(shard => shard.readAt === undefined && !shard.busy),
		isBusy: () => shards.some(shard => shard.busy),
		requestRead(team: TeamName) {
			shards[shardOf(team)]!.needsRead = true;
		},
		addDonation(pending: PendingDonation) {
			usageOf(pending.donation.team);
			shards[shardOf(pending.donation.team)]!.donations.push(pending);
		},
		expireDonations(now: number) {
			for (const shard of shards) {
				for (const pending of shard.donations.filter(({deadline}) => deadline <= now)) {
					pending.answer(0);
				}

				shard.donations = shard.donations.filter(({deadline}) => deadline > now);
			}
		},
		/** The next call on the store for this shard, if one is due. The shard is busy until `finish`. */
		takeCommand(index: number, context: PlanContext, now: number): LedgerCommand | undefined {
			const shard = shards[index]!;
			if (shard.busy || now < shard.notBefore) {
				return undefined;
			}

			let command: LedgerCommand | undefined;
			if (isDueForRead(shard, context.tidies, now)) {
				// A read that is asked for from now on needs another answer than this one.
				shard.needsRead = false;
				command = {type: 'read', shard: index};
			} else if (now >= shard.planAt || context.draining || isUrgent(index)) {
				const full = now >= shard.planAt || context.draining;
				shard.planAt = full ? now + planIntervalMilliseconds : shard.planAt;
				command = plan(index, context, {now, full});
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
