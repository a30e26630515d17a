/**
 * Moves machines between pools. Demand is bursty: for some seconds a pool needs
 * several times its mean, more than its capacity, and almost nothing in between.
 * Each pool is sized for its recent arrivals; idle machines beyond that move to
 * pools with a deficit or to the standby pool.
 */
import type {WorkerRow} from './model.js';

/** Capacity is kept for this many times the arriving work, since run times vary and machines fail. */
const headroomFactor = 1.15;
/** Capacity is planned so that waiting work is finished within this time. */
const backlogTargetMilliseconds = 1500;
/** A deficit below this share of a machine does not justify a move. */
const minimumDeficitShare = 0.35;
/** A pool gives a machine away only if the peak demand of this period fits without it. */
const peakWindowMilliseconds = 1200;
/** A machine moves to standby after this idle time; the two moves cost as much as over 2 seconds in standby save. */
const idleBeforeStandbyMilliseconds = 700;
/** A pool keeps this many machines so that it survives the loss of one. */
export const minimumMachines = 2;

export type PoolMachine = {
	readonly machine: string;
	readonly pool: string;
	readonly isUp: boolean;
	readonly cpuMillis: number;
	readonly worker: WorkerRow | undefined;
	/** In an evacuated zone: its capacity does not count, and it stays in its pool. */
	readonly isEvacuated: boolean;
};

export type PoolMove = {readonly machine: string; readonly from: string; readonly to: string};

/** CPU demand in thousandths of a core, except where noted. */
export type PoolDemand = {
	/** Of long-running tasks, running or waiting. */
	readonly longRunning: number;
	/** Of other running tasks. */
	readonly running: number;
	/** Of tasks that are ready to start and lack capacity. */
	readonly waiting: number;
	/** Of the waiting tasks, in thousandths of a core times milliseconds. */
	readonly waitingWork: number;
	/** Needed to keep up with recent arrivals. */
	readonly arrivalDemand: number;
	/** Number of waiting long-running tasks. */
	readonly waitingLongRunningTasks: number;
};

/** Capacity that a pool needs, in thousandths of a core. */
export const estimateRequiredCapacity = (demand: PoolDemand): number => {
	const backlog = Math.min(demand.waiting, demand.waitingWork / backlogTargetMilliseconds);
	return demand.longRunning + Math.max(demand.arrivalDemand * headroomFactor, demand.running) + backlog;
};

export type PoolPlanner = ReturnType<typeof createPoolPlanner>;

export const createPoolPlanner = () => {
	const peaks = new Map<string, Array<{readonly at: number; readonly need: number}>>();
	const idleSince = new Map<string, number>();

	const recordPeak = (pool: string, need: number, now: number): number => {
		const list = (peaks.get(pool) ?? []).filter(entry => entry.at > now - peakWindowMilliseconds);
		list.push({at: now, need});
		peaks.set(pool, list);
		return Math.max(...list.map(entry => entry.need));
	};

	const trackIdleTime = (machine: PoolMachine, now: number): number | undefined => {
		const {worker} = machine;
		if (!machine.isUp || worker === undefined || worker.runs.size > 0 || !worker.isReconciled || worker.isCordoned) {
			idleSince.delete(machine.machine);
			return undefined;
		}

		const since = idleSince.get(machine.machine) ?? now;
		idleSince.set(machine.machine, since);
		return now - since;
	};

	return {
		plan(options: {
			readonly machines: readonly PoolMachine[];
			/** Pools that run work. */
			readonly demands: ReadonlyMap<string, PoolDemand>;
			readonly standbyPools: ReadonlySet<string>;
			/** The target pool of each machine that is being moved. */
			readonly targetPools: ReadonlyMap<string, string>;
			readonly canMove: (machine: string, pool: string) => boolean;
			readonly now: number;
		}): PoolMove[] {
			const {demands, standbyPools, targetPools, canMove, now} = options;
			const machines = options.machines.filter(machine => !machine.isEvacuated);
			const moves: PoolMove[] = [];
			const movedMachines = new Set<string>();
			const addMove = (machine: PoolMachine, to: string): void => {
				movedMachines.add(machine.machine);
				moves.push({machine: machine.machine, from: machine.pool, to});
			};

			const pools = [...demands].map(([pool, demand]) => {
				const members = machines.filter(machine => machine.pool === pool && !targetPools.has(machine.machine));
				const arriving = machines.filter(machine => targetPools.get(machine.machine) === pool);
				const usable = members.filter(machine => machine.isUp && machine.worker?.unansweredCalls === 0 && !machine.worker.registration.draining);
				const capacity = [...usable, ...arriving].reduce((sum, machine) => sum + machine.cpuMillis, 0);
				const need = estimateRequiredCapacity(demand);
				// Long-running tasks may need another worker although there is free capacity, since a step may limit its tasks per worker.
				const deficit = need - capacity + (demand.waitingLongRunningTasks > 0 && arriving.length === 0 ? Math.max(0, capacity - need) + (machines[0]?.cpuMillis ?? 0) : 0);
				return {
					pool, members, capacity, count: usable.length, deficit, peak: recordPeak(pool, need, now),
				};
			});

			/** Idle machines that their pool can spare, longest idle first. */
			const spare: Array<{readonly machine: PoolMachine; readonly idle: number}> = [];
			for (const {members, capacity, count, deficit, peak} of pools) {
				let remainingCapacity = capacity;
				let remainingMachines = count;
				const idle = members.map(machine => ({machine, idle: trackIdleTime(machine, now)})).filter(entry => entry.idle !== undefined);
				for (const entry of idle.toSorted((first, second) => second.idle! - first.idle!)) {
					if (deficit <= 0 && remainingMachines > minimumMachines && peak <= remainingCapacity - entry.machine.cpuMillis) {
						remainingCapacity -= entry.machine.cpuMillis;
						remainingMachines -= 1;
						spare.push({machine: entry.machine, idle: entry.idle!});
					}
				}
			}

			const standbyMachines = machines.filter(machine => standbyPools.has(machine.pool) && machine.isUp && !targetPools.has(machine.machine));
			const available = [...spare.map(({machine}) => machine), ...standbyMachines];
			for (const {pool, deficit} of pools.toSorted((left, right) => right.deficit - left.deficit)) {
				let missing = deficit;
				for (const machine of available) {
					if (missing < minimumDeficitShare * machine.cpuMillis) {
						break;
					}

					if (machine.pool !== pool && !movedMachines.has(machine.machine) && canMove(machine.machine, pool)) {
						addMove(machine, pool);
						missing -= machine.cpuMillis;
					}
				}
			}

			const [standby] = standbyPools;
			for (const {machine, idle} of spare) {
				if (standby !== undefined && idle > idleBeforeStandbyMilliseconds && !movedMachines.has(machine.machine) && canMove(machine.machine, standby)) {
					addMove(machine, standby);
				}
			}

			return moves;
		},
	};
};
