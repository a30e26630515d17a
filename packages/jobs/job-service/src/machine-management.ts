/** What the owner does with machines: waves of maintenance and moves between pools, over one list and one record of orders. */
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
	readonly holder: string;
	readonly epoch: number;
	readonly tookOverAt: number;
	/** See `RevisionTimes`. */
	readonly reachedBy: (revision: number) => number | undefined;
	readonly mayOrder: () => boolean;
	readonly commit: (operations: readonly StoreOperation[]) => Promise<void>;
	/** The worker's life has been ended by the platform. */
	readonly retire: (worker: WorkerRow) => void;
	readonly log: MaintenanceLog & PoolMoveLog;
}) => {
	const shared = {...options, machineList: createMachineList(options), orderGuard: createMachineOrderGuard(options)};
	const maintenance = createMaintenance(shared);
	return {orderGuard: shared.orderGuard, maintenance, poolMoves: createPoolMoves({...shared, isReserved: maintenance.isReserved})};
};
