/** The owner's management of machines: maintenance waves and moves between pools, which share the list of machines and the order guard. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import type {StoreOperation} from '@turmericbay/types';
import {createMachineList} from './machine-list.js';
import {createMachineOrderGuard} from './machine-order-guard.js';
import type {MaintenanceLog} from './maintenance.js';
import {createMaintenance} from './maintenance.js';
import type {PoolMoveLog} from './pool-moves.js';
import {createPoolMoves} from './pool-moves.js';
import {computeMovableCapacity} from './movable-capacity.js';
import type {Clock, MachineClient, PlatformRecordCodec} from './ports.js';
import {MachineState} from './ports.js';

export const createMachineManagement = (options: {
	readonly scheduler: Scheduler;
	readonly machineClient: MachineClient;
	readonly recordCodec: PlatformRecordCodec;
	readonly clock: Clock;
	/** Name of this instance, sent with each order. */
	readonly holder: string;
	readonly epoch: number;
	readonly tookOverAt: number;
	/** Time by which the store had reached the revision; undefined if no response has shown it. */
	readonly getReachedTime: (revision: number) => number | undefined;
	readonly mayOrder: () => boolean;
	/** False also while it is not known which zones are evacuated; maintenance goes on meanwhile. */
	readonly mayMove: () => boolean;
	readonly commit: (operations: readonly StoreOperation[]) => Promise<void>;
	/** Called when the platform has ended a worker process in order to move or maintain its machine. */
	readonly retire: (worker: WorkerRow) => void;
	readonly log: MaintenanceLog & PoolMoveLog;
}) => {
	const shared = {...options, machineList: createMachineList(options), orderGuard: createMachineOrderGuard(options)};
	const maintenance = createMaintenance(shared);
	const poolMoves = createPoolMoves({...shared, mayOrder: options.mayMove, isReserved: maintenance.isReserved});
	const {machineList, scheduler} = shared;
	/** CPU in thousandths of a core that pool moves can add to the pool; infinite until the machines are known. */
	const getMovableCapacity = (pool: string): number => {
		const records = machineList.records();
		return records.length === 0
			? Number.POSITIVE_INFINITY
			: computeMovableCapacity({
				pool, standbyPools: new Set([...scheduler.policies().pools.values()].filter(policy => policy.standby).map(policy => policy.name)),
				machines: records.map(record => ({
					machine: record.machine, pool: record.pool, cpuMillis: record.cpuMillis,
					isUp: record.state === MachineState.Up, isMoving: record.state === MachineState.Moving, worker: machineList.getWorker(record.machine), isEvacuated: poolMoves.isEvacuated(record.machine),
				})),
			});
	};

	return {
		orderGuard: shared.orderGuard, maintenance, poolMoves, getMovableCapacity,
		countMachines: (): number => machineList.records().length,
	};
};
