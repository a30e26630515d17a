/**
 * Moves machines between pools. Demand comes by turns: a pool asks for several
 * times its mean for some seconds, more than it holds, while others are idle.
 * Machines of the standby pool, and visitors that a calm pool no longer needs,
 * join a pool that has more work than room; idle visitors go back home.
 */
import type {WorkerRow} from './model.js';

/** A pool grows once its work exceeds this share of its room, including what is on its way. */
const growAbove = 0.95;
/** Less missing room than this share of a machine does not call for one. */
const leastDeficit = 0.3;
/** A visitor may leave if the pool's highest load of the last seconds stays below this share of the rest. */
const calmBelow = 0.7;
/** Span over which the highest load counts; a burst of a queue has gaps shorter than this. */
const peakMilliseconds = 1500;
/** A visitor goes home after this time without work. */
const idleMilliseconds = 1000;

export type PoolMachine = {
	readonly machine: string;
	readonly pool: string;
	readonly isUp: boolean;
	readonly cpuMillis: number;
	readonly worker: WorkerRow | undefined;
};

export type PoolMove = {readonly machine: string; readonly from: string; readonly to: string};

export type PoolDemand = {
	/** Processor need of tasks that could start now and have no room, in thousandths of a core. */
	readonly waitingCpuMillis: number;
};

export type PoolPlanner = ReturnType<typeof createPoolPlanner>;

export const createPoolPlanner = () => {
	const peaks = new Map<string, Array<{readonly at: number; readonly load: number}>>();
	const idleSince = new Map<string, number>();

	const notePeak = (pool: string, load: number, now: number): number => {
		const list = (peaks.get(pool) ?? []).filter(entry => entry.at > now - peakMilliseconds);
		list.push({at: now, load});
		peaks.set(pool, list);
		return Math.max(...list.map(entry => entry.load));
	};

	const noteIdle = (machine: PoolMachine, now: number): number => {
		const isIdle = machine.worker !== undefined && machine.worker.runs.size === 0 && machine.worker.resolved;
		if (!isIdle) {
			idleSince.delete(machine.machine);
			return 0;
		}

		const since = idleSince.get(machine.machine) ?? now;
		idleSince.set(machine.machine, since);
		return now - since;
	};

	return {
		plan(options: {
			readonly machines: readonly PoolMachine[];
			/** Pool to which each machine belongs while demand is usual. */
			readonly homes: ReadonlyMap<string, string>;
			/** Pools that run work, with what waits for room in each. */
			readonly demands: ReadonlyMap<string, PoolDemand>;
			readonly standbyPools: ReadonlySet<string>;
			/** Machines on their way, by the pool that they will join. */
			readonly incoming: ReadonlyMap<string, string>;
			readonly isPossible: (machine: string, pool: string) => boolean;
			readonly now: number;
		}): PoolMove[] {
			const {machines, homes, demands, standbyPools, incoming, isPossible, now} = options;
			const moves: PoolMove[] = [];
			const taken = new Set<string>();
			const add = (machine: PoolMachine, to: string): void => {
				taken.add(machine.machine);
				moves.push({machine: machine.machine, from: machine.pool, to});
			};

			const pools = [...demands].map(([pool, demand]) => {
				const own = machines.filter(machine => machine.pool === pool && !incoming.has(machine.machine));
				const arriving = machines.filter(machine => incoming.get(machine.machine) === pool);
				const room = [...own.filter(machine => machine.isUp), ...arriving].reduce((sum, machine) => sum + machine.cpuMillis, 0);
				const used = own.reduce((sum, machine) => sum + (machine.worker?.used.cpuMillis ?? 0), 0);
				const load = used + demand.waitingCpuMillis;
				return {pool, own, room, peak: notePeak(pool, load, now), deficit: load - growAbove * room};
			});

			/** Visitors without work that their pool can spare, longest idle first. */
			const spare: Array<{readonly machine: PoolMachine; readonly idle: number}> = [];
			for (const {own, room, peak} of pools) {
				let left = room;
				for (const machine of own) {
					const idle = noteIdle(machine, now);
					const isVisitor = homes.get(machine.machine) !== machine.pool;
					if (isVisitor && machine.isUp && machine.worker?.runs.size === 0 && !machine.worker.closing && peak < calmBelow * (left - machine.cpuMillis)) {
						left -= machine.cpuMillis;
						spare.push({machine, idle});
					}
				}
			}

			const resting = machines.filter(machine => standbyPools.has(machine.pool) && machine.isUp && !incoming.has(machine.machine));
			const free = [...spare.toSorted((left, right) => right.idle - left.idle).map(({machine}) => machine), ...resting];
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

			for (const {machine, idle} of spare) {
				const home = homes.get(machine.machine);
				if (idle > idleMilliseconds && home !== undefined && !taken.has(machine.machine) && isPossible(machine.machine, home)) {
					add(machine, home);
				}
			}

			return moves;
		},
	};
};
