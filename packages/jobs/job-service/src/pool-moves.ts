/** Carries out the moves of machines between pools that the scheduler's pool planner chooses. */
import type {
	PoolMachine, PoolMove, Scheduler, WorkerRow,
} from '@turmericbay/scheduler';
import {createPoolPlanner} from '@turmericbay/scheduler';
import type {MachineList} from './machine-list.js';
import {createMachineZones} from './machine-zones.js';
import type {MachineOrderGuard} from './machine-order-guard.js';
import type {Clock, MachineClient} from './ports.js';
import {MachineState} from './ports.js';

/** Interval between two plans. */
const planIntervalMilliseconds = 150;
/** Delay before another attempt to move a machine after a failure. */
const retryMilliseconds = 2000;
/** A move that the list of machines does not show as finished is given up after this time. */
const moveTimeoutMilliseconds = 6000;

export type PoolMoveLog = {
	moveAttempted(move: PoolMove, outcome: string): void;
};

export type PoolMoves = ReturnType<typeof createPoolMoves>;

export const createPoolMoves = (options: {
	readonly scheduler: Scheduler;
	readonly machineClient: MachineClient;
	readonly machineList: MachineList;
	readonly clock: Clock;
	readonly holder: string;
	readonly epoch: number;
	readonly orderGuard: MachineOrderGuard;
	readonly mayOrder: () => boolean;
	/** True for a machine that a maintenance wave uses. */
	readonly isReserved: (machine: string) => boolean;
	/** Called when the platform has ended a worker process in order to move or maintain its machine. */
	readonly retire: (worker: WorkerRow) => void;
	readonly log: PoolMoveLog;
}) => {
	const {scheduler, machineClient, machineList, clock, holder, epoch, orderGuard, mayOrder, isReserved, retire, log} = options;
	const planner = createPoolPlanner();
	/** The target pool of each machine that is being moved. */
	const targetPools = new Map<string, string>();
	/** When the move call returned for each machine; infinite until then, so that the move does not time out. */
	const movedAt = new Map<string, number>();
	const retryAt = new Map<string, number>();
	/** Pairs of machine and pool that the machine service has rejected as invalid. */
	const impossibleMoves = new Set<string>();
	/** Machines for which an earlier order may have been executed. */
	const uncertainMachines = new Set<string>();
	let plannedAt = Number.NEGATIVE_INFINITY;
	const machineZones = createMachineZones({machineList});
	const isEvacuated = (machine: string): boolean => {
		const zone = machineZones.getZone(machine);
		return zone !== undefined && scheduler.isEvacuated(zone);
	};

	const orderMove = async (move: PoolMove): Promise<void> => {
		const {machine, to} = move;
		const worker = machineList.getWorker(machine);
		if (worker) {
			worker.isCordoned = true;
		}

		targetPools.set(machine, to);
		movedAt.set(machine, Number.POSITIVE_INFINITY);
		// While the order was being stored, the zone may have been evacuated, and the worker may have reported runs.
		if (!await orderGuard.recordOrder(machine) || isEvacuated(machine) || (worker && worker.runs.size > 0)) {
			targetPools.delete(machine);
			movedAt.delete(machine);
			if (worker) {
				worker.isCordoned = false;
			}

			return;
		}

		machineList.markOrdered(machine);
		const generation = worker?.generation;
		const outcome = await machineClient.move({
			machine, pool: to, holder, fencingToken: epoch,
		});
		machineList.markOrdered(machine);
		log.moveAttempted(move, outcome);
		movedAt.set(machine, clock.now());
		if (outcome === 'accepted') {
			if (worker && worker.generation === generation && !uncertainMachines.has(machine)) {
				retire(worker);
			}

			return;
		}

		if (outcome === 'invalid') {
			impossibleMoves.add(`${machine} ${to}`);
		}

		if (outcome === 'unknown') {
			uncertainMachines.add(machine);
		} else {
			targetPools.delete(machine);
			if (worker) {
				worker.isCordoned = false;
			}
		}

		retryAt.set(machine, clock.now() + retryMilliseconds);
	};

	/** Removes moves that the list of machines shows as finished, and those that timed out. */
	const removeFinishedMoves = (now: number): void => {
		for (const [machine, pool] of targetPools) {
			const at = movedAt.get(machine) ?? now;
			const record = machineList.getRecord(machine);
			const isSeen = machineList.requestedAt() > at && record?.pool === pool && record.state === MachineState.Up;
			if (isSeen || now - at > moveTimeoutMilliseconds) {
				targetPools.delete(machine);
				const worker = machineList.getWorker(machine);
				if (worker) {
					worker.isCordoned = false;
				}
			}
		}
	};

	return {
		/** True if the machine's zone is evacuated, so that its capacity does not count. */
		isEvacuated,
		tick(): void {
			const now = clock.now();
			if (now - plannedAt < planIntervalMilliseconds || !mayOrder()) {
				return;
			}

			plannedAt = now;
			machineList.refresh();
			removeFinishedMoves(now);
			machineZones.refresh();
			const known: PoolMachine[] = machineList.records().map(({machine, pool, state, cpuMillis}) => ({
				machine, pool, cpuMillis, isUp: state === MachineState.Up, worker: machineList.getWorker(machine), isEvacuated: isEvacuated(machine),
			}));
			const standbyPools = new Set([...scheduler.policies().pools.values()].filter(pool => pool.standby).map(pool => pool.name));
			const demands = new Map([...scheduler.measurePoolDemands(now)].filter(([pool]) => !standbyPools.has(pool)));
			for (const move of planner.plan({
				machines: known, demands, standbyPools, targetPools, now,
				canMove: (machine, pool) => !isReserved(machine) && orderGuard.isFree(machine) && (retryAt.get(machine) ?? 0) <= now && !impossibleMoves.has(`${machine} ${pool}`),
			})) {
				void orderMove(move);
			}
		},
	};
};
