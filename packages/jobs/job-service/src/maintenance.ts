/** Carries out maintenance waves through the machine service. Only an owner with a valid lease sends orders, and only after a cooldown, since machines that the previous owner ordered may still be in maintenance. */
import type {
	Scheduler, WaveMachine, WaveRow, WorkerRow,
} from '@turmericbay/scheduler';
import {DisruptionCause, isDisruptionAllowed, planWave} from '@turmericbay/scheduler';
import type {StoredEntry, StoreOperation} from '@turmericbay/types';
import type {MachineList} from './machine-list.js';
import type {MachineOrderGuard} from './machine-order-guard.js';
import type {
	Clock, MachineClient, PlatformRecordCodec,
} from './ports.js';
import {MachineState} from './ports.js';
import {waveProgressPrefix} from './records.js';

/** Delay before a failed order for a machine is sent again. */
const retryMilliseconds = 500;
/** Planning a wave reads all machines, jobs and workers, so it is not done on each tick of a busy owner. */
const planIntervalMilliseconds = 50;

export type MaintenanceLog = {
	waveProgressed(wave: number, machine: string | undefined, outcome: string): void;
};

type WaveProgress = {
	/** Machines whose maintenance has started or is not needed. */
	readonly begun: readonly string[];
	/** Machines for which this or a previous owner may have sent an order whose outcome it does not know. */
	readonly ordered: readonly string[];
};

export type Maintenance = ReturnType<typeof createMaintenance>;

export const createMaintenance = (options: {
	readonly scheduler: Scheduler;
	readonly machineClient: MachineClient;
	readonly machineList: MachineList;
	readonly recordCodec: PlatformRecordCodec;
	readonly clock: Clock;
	readonly holder: string;
	readonly epoch: number;
	readonly orderGuard: MachineOrderGuard;
	readonly mayOrder: () => boolean;
	readonly commit: (operations: readonly StoreOperation[]) => Promise<void>;
	/** Called when the platform has ended a worker process in order to move or maintain its machine. */
	readonly retire: (worker: WorkerRow) => void;
	readonly log: MaintenanceLog;
}) => {
	const {scheduler, machineClient, machineList, recordCodec, clock, holder, epoch, orderGuard, mayOrder, commit, retire, log} = options;
	const waves = new Map<number, WaveRow>();
	const completed = new Set<number>();
	const retryAt = new Map<string, number>();
	/** Progress of the waves under previous owners. */
	const restoredProgress = new Map<number, WaveProgress>();
	/** Machines for which an earlier order may have been executed. Acceptance of a repeated order then does not mean that the current worker has ended. */
	const uncertainMachines = new Set<string>();
	let plannedAt = Number.NEGATIVE_INFINITY;

	const writeStatus = async (wave: WaveRow, isCompleted: boolean): Promise<void> => {
		const mayBeOrdered = (machine: string): boolean => !wave.begun.has(machine) && (wave.ordered.has(machine) || uncertainMachines.has(machine));
		const progress: WaveProgress = {begun: [...wave.begun], ordered: wave.machines.filter(machine => mayBeOrdered(machine))};
		await commit([
			{type: 'put', key: waveProgressPrefix + wave.wave, value: JSON.stringify(progress)},
			{type: 'put', ...recordCodec.encodeWaveStatus({wave: wave.wave, isCompleted})},
		]);
	};

	const markBegun = (wave: WaveRow, machine: string): void => {
		wave.begun.add(machine);
		wave.cordonedSince.delete(machine);
		const isCompleted = wave.machines.every(name => wave.begun.has(name));
		if (isCompleted) {
			completed.add(wave.wave);
			log.waveProgressed(wave.wave, undefined, 'completed');
		}

		void writeStatus(wave, isCompleted);
	};

	/** Lets a worker get tasks again whose machine the wave has finished with. */
	const release = (worker: WorkerRow): void => {
		worker.isTerminating = false;
		worker.isCordoned = false;
	};

	const orderMaintenance = async (wave: WaveRow, machine: string): Promise<void> => {
		wave.ordered.add(machine);
		const worker = machineList.getWorker(machine);
		// Stored before the order is sent, so that the next owner knows that the machine may have had its maintenance.
		const [maySend] = await Promise.all([orderGuard.recordOrder(machine), writeStatus(wave, false)]);
		// Tasks elsewhere may have ended while the order was being stored.
		if (!maySend || (worker && !isDisruptionAllowed(worker, clock.now()))) {
			wave.ordered.delete(machine);
			// An earlier order of unknown outcome may still end the worker.
			if (worker && !uncertainMachines.has(machine)) {
				worker.isTerminating = false;
			}

			log.waveProgressed(wave.wave, machine, 'withheld');
			return;
		}

		if (worker) {
			scheduler.reportDisruption({cause: DisruptionCause.Maintenance, worker, now: clock.now()});
		}

		machineList.markOrdered(machine);
		const generation = worker?.generation;
		const outcome = await machineClient.startMaintenance({
			machine, wave: wave.wave, holder, fencingToken: epoch,
		});
		machineList.markOrdered(machine);
		wave.ordered.delete(machine);
		log.waveProgressed(wave.wave, machine, outcome);
		switch (outcome) {
			case 'accepted': {
				wave.down.add(machine);
				if (worker && worker.generation === generation && !uncertainMachines.has(machine)) {
					retire(worker);
				} else if (worker) {
					// The acceptance may refer to an earlier order or process. The next run report shows whether the worker is still running.
					worker.unansweredCalls += 1;
					release(worker);
				}

				markBegun(wave, machine);
				break;
			}

			case 'foreign':
			case 'invalid': {
				if (worker) {
					release(worker);
				}

				markBegun(wave, machine);
				break;
			}

			case 'busy':
			case 'fenced':
			case 'unknown':
			case 'refused': {
				if (outcome === 'unknown') {
					uncertainMachines.add(machine);
				}

				retryAt.set(machine, clock.now() + retryMilliseconds);
				if (worker && outcome !== 'unknown') {
					worker.isTerminating = false;
				}

				break;
			}
		}
	};

	const listMachines = (): Map<string, WaveMachine> => new Map(machineList.records().map(({machine, pool, state}) => [machine, {
		machine, pool, isUp: state === MachineState.Up, worker: machineList.getWorker(machine),
	}]));

	const advanceWave = (wave: WaveRow, now: number): void => {
		const machines = listMachines();
		for (const machine of wave.down) {
			if (machineList.isNewerThanLastOrder(machine) && machines.get(machine)?.isUp !== false) {
				wave.down.delete(machine);
			}
		}

		for (const machine of wave.machines) {
			// A machine that the platform does not list any more needs no maintenance.
			if (!wave.begun.has(machine) && machines.size > 0 && !machines.has(machine)) {
				markBegun(wave, machine);
			}
		}

		const usable = new Map([...machines].filter(([machine]) => (retryAt.get(machine) ?? 0) <= now && orderGuard.isFree(machine)));
		const backlogged = new Set([...scheduler.measurePoolDemands(now)].filter(([, demand]) => demand.waiting > 0).map(([pool]) => pool));
		const plan = planWave({
			wave, machines: usable, workers: scheduler.workers.values(), backlogged, now,
		});
		for (const row of plan.evacuated) {
			scheduler.reportDisruption({
				cause: DisruptionCause.Wave, worker: row.worker, row, now,
			});
		}

		for (const machine of plan.readyForMaintenance) {
			void orderMaintenance(wave, machine);
		}
	};

	return {
		restore(entries: readonly StoredEntry[]): void {
			for (const entry of entries) {
				const wave = Number(entry.key.slice(waveProgressPrefix.length));
				// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Written by this program.
				const progress = JSON.parse(entry.value) as WaveProgress;
				restoredProgress.set(wave, progress);
				for (const machine of progress.ordered) {
					uncertainMachines.add(machine);
				}
			}
		},
		/** Adds a wave that the operator has requested. Returns false if the entry is malformed. */
		addWave(entry: StoredEntry): boolean {
			const wave = recordCodec.decodeWave(entry);
			if (!wave) {
				return false;
			}

			if (!waves.has(wave.wave)) {
				const row: WaveRow = {
					wave: wave.wave, machines: wave.machines, maximumAtOnce: wave.maximumAtOnce, deadline: clock.now() + wave.withinMilliseconds,
					begun: new Set(restoredProgress.get(wave.wave)?.begun), cordonedSince: new Map(), ordered: new Set(), down: new Set(),
				};
				waves.set(wave.wave, row);
				if (row.machines.every(machine => row.begun.has(machine))) {
					completed.add(row.wave);
				}

				log.waveProgressed(wave.wave, undefined, 'requested');
				if (!completed.has(row.wave)) {
					void writeStatus(row, false);
				}
			}

			return true;
		},
		/** True while a wave has cordoned the machine, is ordering its maintenance, or waits for its return. */
		isReserved: (machine: string) => [...waves.values()].some(wave => wave.cordonedSince.has(machine) || wave.ordered.has(machine) || wave.down.has(machine)),
		tick(): void {
			const openWaves = [...waves.values()].filter(wave => !completed.has(wave.wave) || wave.down.size > 0);
			const now = clock.now();
			if (openWaves.length === 0 || now - plannedAt < planIntervalMilliseconds || !orderGuard.isTakeoverCooldownOver() || !mayOrder()) {
				return;
			}

			plannedAt = now;

			machineList.refresh();
			if (machineList.records().length > 0) {
				for (const wave of openWaves) {
					advanceWave(wave, now);
				}
			}
		},
	};
};
