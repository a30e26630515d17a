/** Moves machines between pools as the planner says. */
import type {
	PoolMachine, PoolMove, Scheduler, WorkerRow,
} from '@turmericbay/scheduler';
import {createPoolPlanner} from '@turmericbay/scheduler';
import type {MachineList} from './machine-list.js';
import type {MachineOrders} from './machine-orders.js';
import type {Clock, MachineClient} from './ports.js';
import {MachineState} from './ports.js';

/** Pools are looked at this often. */
const planMilliseconds = 150;
/** A machine that could not be moved is left alone for this time. */
const retryMilliseconds = 2000;
/** A move whose end the list does not show is forgotten after this time. */
const longestMoveMilliseconds = 6000;

export type PoolMoveLog = {
	moveAttempted(move: PoolMove, outcome: string): void;
};

export type PoolMoves = ReturnType<typeof createPoolMoves>;

export const createPoolMoves = (options: {
	readonly scheduler: Scheduler;
	readonly machines: MachineClient;
	readonly list: MachineList;
	readonly clock: Clock;
	readonly holder: string;
	readonly epoch: number;
	readonly orders: MachineOrders;
	readonly mayOrder: () => boolean;
	/** Machines that a wave is about to take. */
	readonly isReserved: (machine: string) => boolean;
	/** The worker's life has been ended by the platform. */
	readonly retire: (worker: WorkerRow) => void;
	readonly log: PoolMoveLog;
}) => {
	const {scheduler, machines, list, clock, holder, epoch, orders, mayOrder, isReserved, retire, log} = options;
	const planner = createPoolPlanner();
	const incoming = new Map<string, string>();
	const movedAt = new Map<string, number>();
	const retryAt = new Map<string, number>();
	const impossible = new Set<string>();
	/** Machines for which a move may have been carried out already. */
	const uncertain = new Set<string>();
	let plannedAt = Number.NEGATIVE_INFINITY;

	const order = async (move: PoolMove): Promise<void> => {
		const {machine, to} = move;
		const worker = list.workerOn(machine);
		if (worker) {
			worker.isCordoned = true;
		}

		incoming.set(machine, to);
		movedAt.set(machine, Number.POSITIVE_INFINITY);
		if (!await orders.prepare(machine)) {
			incoming.delete(machine);
			movedAt.delete(machine);
			if (worker) {
				worker.isCordoned = false;
			}

			return;
		}

		list.noteOrder(machine);
		const outcome = await machines.move({
			machine, pool: to, holder, fencingToken: epoch,
		});
		list.noteOrder(machine);
		log.moveAttempted(move, outcome);
		movedAt.set(machine, clock.now());
		if (outcome === 'accepted') {
			if (worker && !uncertain.has(machine)) {
				retire(worker);
			}

			return;
		}

		if (outcome === 'invalid') {
			impossible.add(`${machine} ${to}`);
		}

		if (outcome === 'unknown') {
			uncertain.add(machine);
		} else {
			incoming.delete(machine);
			if (worker) {
				worker.isCordoned = false;
			}
		}

		retryAt.set(machine, clock.now() + retryMilliseconds);
	};

	/** Forgets moves whose end the list shows. */
	const settle = (now: number): void => {
		for (const [machine, pool] of incoming) {
			const at = movedAt.get(machine) ?? now;
			const record = list.recordOf(machine);
			const isSeen = list.sentAt() > at && record?.pool === pool && record.state === MachineState.Up;
			if (isSeen || now - at > longestMoveMilliseconds) {
				incoming.delete(machine);
				const worker = list.workerOn(machine);
				if (worker) {
					worker.isCordoned = false;
				}
			}
		}
	};

	return {
		tick(): void {
			const now = clock.now();
			if (now - plannedAt < planMilliseconds || !mayOrder()) {
				return;
			}

			plannedAt = now;
			list.refresh();
			settle(now);
			const known: PoolMachine[] = list.records().map(({machine, pool, state, cpuMillis}) => ({
				machine, pool, cpuMillis, isUp: state === MachineState.Up, worker: list.workerOn(machine),
			}));
			const standbyPools = new Set([...scheduler.policies().pools.values()].filter(pool => pool.standby).map(pool => pool.name));
			const demands = new Map([...scheduler.measurePoolDemands(now)].filter(([pool]) => !standbyPools.has(pool)));
			for (const move of planner.plan({
				machines: known, demands, standbyPools, incoming, now,
				isPossible: (machine, pool) => !isReserved(machine) && orders.isFree(machine) && (retryAt.get(machine) ?? 0) <= now && !impossible.has(`${machine} ${pool}`),
			})) {
				void order(move);
			}
		},
	};
};
