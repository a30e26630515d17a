/**
 * Maintenance waves: which machine is closed for new work and which has its
 * upkeep now. Machines that lose least go first while there is time; no step
 * that serves loses more tasks at once than it allows.
 */
import type {RunRow, StepRow, WorkerRow} from './model.js';
import {RunPhase} from './model.js';

/** A machine is kept closed this long so that short tasks end by themselves. */
const closingMilliseconds = 2500;
/** From closing a machine until its worker is back: closing, the upkeep itself, and the worker's start. */
const machineMilliseconds = 6000;
/** Work is preferred over the wave while the remaining time is this many times what the wave needs. */
const comfortFactor = 1.6;
/** A pool above this load is spared while there is time. */
const busyLoad = 0.6;
/** Share of a pool that a wave takes away at once while there is time. */
const poolShare = 0.34;

export type WaveMachine = {
	readonly machine: string;
	readonly pool: string;
	/** Running or back from its upkeep. */
	readonly isUp: boolean;
	/** The worker that runs on it now; undefined while there is none. */
	readonly worker: WorkerRow | undefined;
};

export type WaveRow = {
	readonly wave: number;
	readonly machines: readonly string[];
	readonly maximumAtOnce: number;
	/** Steady clock. */
	readonly deadline: number;
	/** Machines whose upkeep was accepted, or that no longer exist. */
	readonly begun: Set<string>;
	/** Machines closed for new work, by the time when they were closed. */
	readonly cordonedSince: Map<string, number>;
	/** Machines with an upkeep call under way. */
	readonly ordered: Set<string>;
	/** Machines accepted for upkeep that have not been seen up again. */
	readonly down: Set<string>;
};

/**
 * Tasks of a step that do not serve right now, and those on the worker. A run there counts even if
 * the newest list does not show it at work yet: it may be by the time the order arrives.
 */
const countAway = (step: StepRow, worker: WorkerRow): {away: number; here: number} => {
	let away = 0;
	let here = 0;
	for (const task of step.tasks) {
		const rows = [...task.runs.values()].filter(row => row.phase !== RunPhase.Stopping && !row.isEvacuating && !row.worker.isTerminating);
		if (rows.some(row => row.worker === worker)) {
			here += 1;
		} else if (!rows.some(row => row.phase === RunPhase.Running && row.percent === 100)) {
			away += 1;
		}
	}

	return {away, here};
};

/** True if all that runs on the worker may be taken away now. */
export const isDisruptionAllowed = (worker: WorkerRow): boolean => {
	const steps = new Set<StepRow>();
	for (const row of worker.runs.values()) {
		if (row.task.step.declaration.maximumAway !== undefined) {
			steps.add(row.task.step);
		}
	}

	for (const step of steps) {
		const {away, here} = countAway(step, worker);
		if (here > 0 && away + here > (step.declaration.maximumAway ?? 0)) {
			return false;
		}
	}

	return true;
};

/** A run whose stop brings the worker nearer to being free: one of several that serve the same step here. */
const chooseEvacuation = (worker: WorkerRow): RunRow | undefined => {
	for (const row of worker.runs.values()) {
		const {step} = row.task;
		const {maximumAway} = step.declaration;
		if (maximumAway === undefined || row.phase !== RunPhase.Running || row.isEvacuating) {
			continue;
		}

		const {away, here} = countAway(step, worker);
		if (away + here > maximumAway && away + 1 <= maximumAway) {
			return row;
		}
	}

	return undefined;
};

const loadOf = (worker: WorkerRow): number => worker.used.cpuMillis / Math.max(1, worker.registration.capacity.cpuMillis);

const hasShortWork = (worker: WorkerRow): boolean => [...worker.runs.values()].some(row => !row.task.step.declaration.longRunning);

/**
 * The machine whose upkeep is ordered next, if any. Its worker is marked at once: tasks of
 * one step may stand on several machines, and each order is judged after the one before it.
 */
const chooseReady = (wave: WaveRow, machines: ReadonlyMap<string, WaveMachine>, now: number): string[] => {
	for (const [machine, closedAt] of wave.cordonedSince) {
		const known = machines.get(machine);
		if (!known?.isUp || wave.ordered.has(machine)) {
			continue;
		}

		const {worker} = known;
		if (worker === undefined) {
			return [machine];
		}

		if (isDisruptionAllowed(worker) && (!hasShortWork(worker) || now - closedAt > closingMilliseconds)) {
			worker.isTerminating = true;
			return [machine];
		}
	}

	return [];
};

const chooseEvacuations = (wave: WaveRow, machines: ReadonlyMap<string, WaveMachine>): RunRow[] => {
	const rows: RunRow[] = [];
	for (const machine of wave.cordonedSince.keys()) {
		const worker = machines.get(machine)?.worker;
		const row = worker && !worker.isTerminating ? chooseEvacuation(worker) : undefined;
		if (row) {
			row.isEvacuating = true;
			rows.push(row);
		}
	}

	return rows;
};

/** Closes machines, and names those to be ordered now and the runs that are stopped to be started elsewhere. */
export const planWave = (options: {
	readonly wave: WaveRow;
	readonly machines: ReadonlyMap<string, WaveMachine>;
	readonly workers: Iterable<WorkerRow>;
	/** Pools in which tasks wait for room. */
	readonly backlogged: ReadonlySet<string>;
	readonly now: number;
}): {readonly readyForMaintenance: readonly string[]; readonly evacuate: readonly RunRow[]} => {
	const {wave, machines, workers, backlogged, now} = options;
	const poolSize = new Map<string, number>();
	const poolLoad = new Map<string, number>();
	for (const worker of workers) {
		const {pool} = worker.registration;
		poolSize.set(pool, (poolSize.get(pool) ?? 0) + 1);
		poolLoad.set(pool, (poolLoad.get(pool) ?? 0) + loadOf(worker));
	}

	const left = wave.machines.filter(machine => !wave.begun.has(machine));
	const rounds = Math.ceil(left.length / Math.max(1, wave.maximumAtOnce));
	const isPressed = wave.deadline - now < rounds * machineMilliseconds * comfortFactor;
	const away = new Map<string, number>();
	for (const machine of [...wave.cordonedSince.keys(), ...wave.down, ...wave.ordered]) {
		const pool = machines.get(machine)?.pool ?? '';
		away.set(pool, (away.get(pool) ?? 0) + 1);
	}

	const candidates = left
		.filter(machine => !wave.cordonedSince.has(machine) && !wave.ordered.has(machine) && machines.get(machine)?.isUp)
		.toSorted((first, second) => {
			const loadFor = (machine: string): number => {
				const worker = machines.get(machine)?.worker;
				return worker ? loadOf(worker) : 0;
			};

			return loadFor(first) - loadFor(second);
		});
	for (const machine of candidates) {
		if (wave.cordonedSince.size + wave.ordered.size + wave.down.size >= wave.maximumAtOnce) {
			break;
		}

		const {pool, worker} = machines.get(machine)!;
		const size = Math.max(1, poolSize.get(pool) ?? 1);
		const isBusy = backlogged.has(pool) || (poolLoad.get(pool) ?? 0) / size > busyLoad;
		const isLarge = (away.get(pool) ?? 0) + 1 > Math.max(1, Math.floor(size * poolShare));
		if (worker && !isPressed && (isBusy || isLarge)) {
			continue;
		}

		wave.cordonedSince.set(machine, now);
		away.set(pool, (away.get(pool) ?? 0) + 1);
		if (worker) {
			worker.isCordoned = true;
		}
	}

	return {readyForMaintenance: chooseReady(wave, machines, now), evacuate: chooseEvacuations(wave, machines)};
};
