/**
 * Plans maintenance waves: which machines to cordon and which to take down. A
 * wave is a set of machines that are to have their maintenance by a deadline.
 * The least loaded machines go first while there is time, and no long-running
 * step has more tasks unavailable at once than it allows.
 */
import {chooseRunToMove, isDisruptionAllowed} from './availability.js';
import type {RunRow, WorkerRow} from './model.js';

/** Finite tasks on a cordoned machine get this time to finish; maintenance interrupts those that remain. */
const maximumDrainMilliseconds = 2500;
/** Time from cordoning a machine until its worker is back, including the maintenance and the worker's start. */
const maintenanceCycleMilliseconds = 6000;
/** Busy pools are spared while the remaining time is at least this many times what the wave needs. */
const slackFactor = 1.6;
/** A pool above this load is spared while there is time. */
const busyLoadThreshold = 0.6;
/** Maximum share of a pool that a wave takes out of service at once while there is time. */
const maximumPoolShare = 0.34;

export type WaveMachine = {
	readonly machine: string;
	readonly pool: string;
	/** In service: not moving and not in maintenance. */
	readonly isUp: boolean;
	readonly worker: WorkerRow | undefined;
};

export type WaveRow = {
	readonly wave: number;
	readonly machines: readonly string[];
	readonly maximumAtOnce: number;
	/** By the owner's monotonic clock. */
	readonly deadline: number;
	/** Machines whose maintenance has started or is not needed: not listed, not part of the wave, or rejected as invalid. */
	readonly begun: Set<string>;
	/** When each machine that is currently cordoned for the wave was cordoned. */
	readonly cordonedSince: Map<string, number>;
	/** Machines with a maintenance request in flight. */
	readonly ordered: Set<string>;
	/** Machines whose maintenance has started and that are not yet back in service. */
	readonly down: Set<string>;
};

const getLoad = (worker: WorkerRow): number => worker.used.cpuMillis / Math.max(1, worker.registration.capacity.cpuMillis);

const hasFiniteRuns = (worker: WorkerRow): boolean => [...worker.runs.values()].some(row => !row.task.step.declaration.longRunning);

/**
 * The next machine to take down for maintenance, if any. Its worker is marked immediately, so that its tasks
 * count as unavailable when the next machine with tasks of the same step is considered.
 */
const chooseNextMaintenance = (wave: WaveRow, machines: ReadonlyMap<string, WaveMachine>, now: number): string[] => {
	for (const [machine, cordonedAt] of wave.cordonedSince) {
		const known = machines.get(machine);
		if (!known?.isUp || wave.ordered.has(machine)) {
			continue;
		}

		const {worker} = known;
		if (worker === undefined) {
			return [machine];
		}

		if (isDisruptionAllowed(worker, now) && (!hasFiniteRuns(worker) || now - cordonedAt > maximumDrainMilliseconds)) {
			worker.isTerminating = true;
			return [machine];
		}
	}

	return [];
};

const chooseEvacuations = (wave: WaveRow, machines: ReadonlyMap<string, WaveMachine>, now: number): RunRow[] => {
	const rows: RunRow[] = [];
	for (const machine of wave.cordonedSince.keys()) {
		const worker = machines.get(machine)?.worker;
		const row = worker && !worker.isTerminating ? chooseRunToMove(worker, now) : undefined;
		if (row) {
			row.isEvacuating = true;
			rows.push(row);
		}
	}

	return rows;
};

/** Cordons machines and marks workers to take down and runs to evacuate. Returns the machines to take down now, and the runs newly marked for evacuation. */
export const planWave = (options: {
	readonly wave: WaveRow;
	readonly machines: ReadonlyMap<string, WaveMachine>;
	readonly workers: Iterable<WorkerRow>;
	/** Pools in which tasks wait for capacity. */
	readonly backlogged: ReadonlySet<string>;
	readonly now: number;
}): {readonly readyForMaintenance: readonly string[]; readonly evacuated: readonly RunRow[]} => {
	const {wave, machines, workers, backlogged, now} = options;
	const poolSize = new Map<string, number>();
	const poolLoad = new Map<string, number>();
	for (const worker of workers) {
		const {pool} = worker.registration;
		poolSize.set(pool, (poolSize.get(pool) ?? 0) + 1);
		poolLoad.set(pool, (poolLoad.get(pool) ?? 0) + getLoad(worker));
	}

	const pending = wave.machines.filter(machine => !wave.begun.has(machine));
	const rounds = Math.ceil(pending.length / Math.max(1, wave.maximumAtOnce));
	const isUrgent = wave.deadline - now < rounds * maintenanceCycleMilliseconds * slackFactor;
	const unavailableByPool = new Map<string, number>();
	for (const machine of [...wave.cordonedSince.keys(), ...wave.down, ...wave.ordered]) {
		const pool = machines.get(machine)?.pool ?? '';
		unavailableByPool.set(pool, (unavailableByPool.get(pool) ?? 0) + 1);
	}

	const candidates = pending
		.filter(machine => !wave.cordonedSince.has(machine) && !wave.ordered.has(machine) && machines.get(machine)?.isUp)
		.toSorted((first, second) => {
			const loadFor = (machine: string): number => {
				const worker = machines.get(machine)?.worker;
				return worker ? getLoad(worker) : 0;
			};

			return loadFor(first) - loadFor(second);
		});
	for (const machine of candidates) {
		if (wave.cordonedSince.size + wave.ordered.size + wave.down.size >= wave.maximumAtOnce) {
			break;
		}

		const {pool, worker} = machines.get(machine)!;
		const size = Math.max(1, poolSize.get(pool) ?? 1);
		const isBusy = backlogged.has(pool) || (poolLoad.get(pool) ?? 0) / size > busyLoadThreshold;
		const exceedsPoolShare = (unavailableByPool.get(pool) ?? 0) + 1 > Math.max(1, Math.floor(size * maximumPoolShare));
		if (worker && !isUrgent && (isBusy || exceedsPoolShare)) {
			continue;
		}

		wave.cordonedSince.set(machine, now);
		unavailableByPool.set(pool, (unavailableByPool.get(pool) ?? 0) + 1);
		if (worker) {
			worker.isCordoned = true;
		}
	}

	return {readyForMaintenance: chooseNextMaintenance(wave, machines, now), evacuated: chooseEvacuations(wave, machines, now)};
};
