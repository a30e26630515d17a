/**
 * Moves machines between pools. Demand comes by turns: a pool asks for several
 * times its mean for some seconds, more than it holds, and for next to nothing
 * in between. A pool holds what its newest arrivals need; machines without work
 * that it can spare go to pools that need more, or rest in the standby pool.
 */
import type {WorkerRow} from './model.js';

/** Room is kept for this many times the work that arrives, since run times differ and machines fail. */
const headroom = 1.15;
/** Waiting work is to be done within this time, in milliseconds. */
const backlogMilliseconds = 1500;
/** Less missing room than this share of a machine does not call for one. */
const leastDeficit = 0.35;
/** A pool gives a machine away only while the highest need of this span fits without it. */
const peakMilliseconds = 1200;
/** A machine must have been without work for this long before it rests; a move and a move back cost as much as resting for over two seconds saves. */
const idleMilliseconds = 700;
/** A pool keeps this many machines, so that the loss of one does not stop it. */
const leastMachines = 2;

export type PoolMachine = {
	readonly machine: string;
	readonly pool: string;
	readonly isUp: boolean;
	readonly cpuMillis: number;
	readonly worker: WorkerRow | undefined;
};

export type PoolMove = {readonly machine: string; readonly from: string; readonly to: string};

/** Amounts in thousandths of a core. */
export type PoolDemand = {
	/** Long-running tasks, running or waiting. */
	readonly longRunning: number;
	/** Other tasks that run now. */
	readonly running: number;
	/** Tasks that could start now and have no room. */
	readonly waiting: number;
	/** The same in thousandths of a core times milliseconds. */
	readonly waitingWork: number;
	/** Processors that keep up with the newest arrivals. */
	readonly arrivalDemand: number;
	/** Long-running tasks that wait. */
	readonly waitingLongRunningTasks: number;
};

/** Room that a pool needs, in thousandths of a core. */
export const estimateNeed = (demand: PoolDemand): number => {
	const backlog = Math.min(demand.waiting, demand.waitingWork / backlogMilliseconds);
	return demand.longRunning + Math.max(demand.arrivalDemand * headroom, demand.running) + backlog;
};

export type PoolPlanner = ReturnType<typeof createPoolPlanner>;

export const createPoolPlanner = () => {
	const peaks = new Map<string, Array<{readonly at: number; readonly need: number}>>();
	const idleSince = new Map<string, number>();

	const notePeak = (pool: string, need: number, now: number): number => {
		const list = (peaks.get(pool) ?? []).filter(entry => entry.at > now - peakMilliseconds);
		list.push({at: now, need});
		peaks.set(pool, list);
		return Math.max(...list.map(entry => entry.need));
	};

	const noteIdle = (machine: PoolMachine, now: number): number | undefined => {
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
			/** Machines on their way, by the pool that they will join. */
			readonly incoming: ReadonlyMap<string, string>;
			readonly isPossible: (machine: string, pool: string) => boolean;
			readonly now: number;
		}): PoolMove[] {
			const {machines, demands, standbyPools, incoming, isPossible, now} = options;
			const moves: PoolMove[] = [];
			const taken = new Set<string>();
			const add = (machine: PoolMachine, to: string): void => {
				taken.add(machine.machine);
				moves.push({machine: machine.machine, from: machine.pool, to});
			};

			const pools = [...demands].map(([pool, demand]) => {
				const own = machines.filter(machine => machine.pool === pool && !incoming.has(machine.machine));
				const arriving = machines.filter(machine => incoming.get(machine.machine) === pool);
				const usable = own.filter(machine => machine.isUp && machine.worker?.unansweredCalls === 0 && !machine.worker.registration.draining);
				const room = [...usable, ...arriving].reduce((sum, machine) => sum + machine.cpuMillis, 0);
				const need = estimateNeed(demand);
				// Tasks that serve may lack another worker although there is room on those that have one of them.
				const deficit = need - room + (demand.waitingLongRunningTasks > 0 && arriving.length === 0 ? Math.max(0, room - need) + (machines[0]?.cpuMillis ?? 0) : 0);
				return {
					pool, own, room, count: usable.length, deficit, peak: notePeak(pool, need, now),
				};
			});

			/** Machines without work that their pool can spare, longest idle first. */
			const spare: Array<{readonly machine: PoolMachine; readonly idle: number}> = [];
			for (const {own, room, count, deficit, peak} of pools) {
				let left = room;
				let remaining = count;
				const idle = own.map(machine => ({machine, idle: noteIdle(machine, now)})).filter(entry => entry.idle !== undefined);
				for (const entry of idle.toSorted((first, second) => second.idle! - first.idle!)) {
					if (deficit <= 0 && remaining > leastMachines && peak <= left - entry.machine.cpuMillis) {
						left -= entry.machine.cpuMillis;
						remaining -= 1;
						spare.push({machine: entry.machine, idle: entry.idle!});
					}
				}
			}

			const resting = machines.filter(machine => standbyPools.has(machine.pool) && machine.isUp && !incoming.has(machine.machine));
			const free = [...spare.map(({machine}) => machine), ...resting];
			for (const {pool, deficit} of pools.toSorted((left, right) => right.deficit - left.deficit)) {
				let missing = deficit;
				for (const machine of free) {
					if (missing < leastDeficit * machine.cpuMillis) {
						break;
					}

					if (machine.pool !== pool && !taken.has(machine.machine) && isPossible(machine.machine, pool)) {
						add(machine, pool);
						missing -= machine.cpuMillis;
					}
				}
			}

			const [standby] = standbyPools;
			for (const {machine, idle} of spare) {
				if (standby !== undefined && idle > idleMilliseconds && !taken.has(machine.machine) && isPossible(machine.machine, standby)) {
					add(machine, standby);
				}
			}

			return moves;
		},
	};
};
