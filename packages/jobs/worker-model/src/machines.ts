/** The machines' service: pools, moves and upkeeps, each of which ends the worker on the machine and brings a new one. */

export enum ModelMachineState {
	Up = 'up',
	Moving = 'moving',
	Maintenance = 'upkeep',
	Down = 'down',
}

export type MachineRow = {
	readonly machine: string;
	pool: string;
	readonly zone: string;
	readonly rack: string;
	state: ModelMachineState;
	/** Undefined while none runs on it. */
	worker: string | undefined;
	/** Steady time at which a new worker joins. */
	availableAt: number;
	readonly maintainedWaves: Set<number>;
	/** The wave for whose upkeep it is down. */
	maintenanceWave: number | undefined;
};

export type MachineAnswer = 'accepted' | 'busy' | 'foreign' | 'invalid';

export type MachineModel = ReturnType<typeof createMachineModel>;

export const createMachineModel = (options: {
	readonly moveMilliseconds: number;
	readonly maintenanceMilliseconds: number;
	/** The worker on the machine ends with all that runs on it. */
	readonly endWorker: (machine: MachineRow, now: number) => void;
	/** A new worker joins the machine's pool; returns its name. */
	readonly startWorker: (machine: MachineRow, now: number) => string;
}) => {
	const {moveMilliseconds, maintenanceMilliseconds, endWorker, startWorker} = options;
	const machines = new Map<string, MachineRow>();
	/** Machines of each wave. */
	const waves = new Map<number, ReadonlySet<string>>();

	const takeDown = (row: MachineRow, state: ModelMachineState, forMilliseconds: number, now: number): void => {
		endWorker(row, now);
		row.worker = undefined;
		row.state = state;
		row.availableAt = now + forMilliseconds;
	};

	return {
		machines,
		waves,
		add(row: {readonly machine: string; readonly pool: string; readonly zone: string; readonly rack: string}, now: number): MachineRow {
			const added: MachineRow = {
				...row, state: ModelMachineState.Up, worker: undefined, availableAt: now, maintainedWaves: new Set(), maintenanceWave: undefined,
			};
			machines.set(row.machine, added);
			added.worker = startWorker(added, now);
			return added;
		},
		move(call: {readonly machine: string; readonly pool: string}, now: number): MachineAnswer {
			const row = machines.get(call.machine);
			if (!row) {
				return 'invalid';
			}

			if (row.pool === call.pool) {
				return 'accepted';
			}

			if (row.state !== ModelMachineState.Up) {
				return 'busy';
			}

			row.pool = call.pool;
			takeDown(row, ModelMachineState.Moving, moveMilliseconds, now);
			return 'accepted';
		},
		maintain(call: {readonly machine: string; readonly wave: number}, now: number): MachineAnswer {
			const row = machines.get(call.machine);
			if (!row) {
				return 'invalid';
			}

			if (!waves.get(call.wave)?.has(call.machine)) {
				return 'foreign';
			}

			if (row.maintainedWaves.has(call.wave)) {
				return 'accepted';
			}

			if (row.state !== ModelMachineState.Up) {
				return 'busy';
			}

			row.maintainedWaves.add(call.wave);
			row.maintenanceWave = call.wave;
			takeDown(row, ModelMachineState.Maintenance, maintenanceMilliseconds, now);
			return 'accepted';
		},
		/** Brings back what is due. */
		advance(now: number): void {
			for (const row of machines.values()) {
				if (row.state !== ModelMachineState.Up && row.state !== ModelMachineState.Down && row.availableAt <= now) {
					row.state = ModelMachineState.Up;
					row.maintenanceWave = undefined;
					row.worker = startWorker(row, now);
				}
			}
		},
	};
};
