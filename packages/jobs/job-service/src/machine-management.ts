/** The owner's management of machines: maintenance waves and moves between pools, which share the list of machines and the order guard. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';
import type {StoreOperation} from '@turmericbay/types';
import {createMachineList} from './machine-list.js';
import {createMachineOrderGuard} from './machine-order-guard.js';
import type {MaintenanceLog} from './maintenance.js';
import {createMaintenance} from './maintenance.js';
import type {PoolMoveLog} from './pool-moves.js';
import {createPoolMoves} from './pool-moves.js';
import type {Clock, MachineClient, PlatformRecordCodec} from './ports.js';

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
	return {orderGuard: shared.orderGuard, maintenance, poolMoves: createPoolMoves({...shared, mayOrder: options.mayMove, isReserved: maintenance.isReserved})};
};
