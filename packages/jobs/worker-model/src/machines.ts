/** Model of the machine service: moves between pools and maintenance, both of which end the worker on the machine and start a new one. */

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
	worker: string | undefined;
	/** Simulation time at which the machine is up again with a new worker. */
	availableAt: number;
	/** Waves for which the machine has had its maintenance, or has it now. */
	readonly maintainedWaves: Set<number>;
	/** The wave for which the machine is in maintenance now. */
	maintenanceWave: number | undefined;
};

export type MachineResponse = 'accepted' | 'busy' | 'foreign' | 'invalid';

export type MachineModel = ReturnType<typeof createMachineModel>;

export const createMachineModel = (options: {
	readonly moveMilliseconds: number;
	readonly maintenanceMilliseconds: number;
	/** Ends the worker on the machine and all its runs. `isDelayed`: the order arrived long after it was sent. */
	readonly endWorker: (machine: MachineRow, isDelayed: boolean, now: number) => void;
	/** Starts a new worker in the machine's pool and returns its name. */
	readonly startWorker: (machine: MachineRow, now: number) => string;
}) => {
	const {moveMilliseconds, maintenanceMilliseconds, endWorker, startWorker} = options;
	const machines = new Map<string, MachineRow>();
	/** Machines by wave. */
	const waves = new Map<number, ReadonlySet<string>>();

	const takeDown = (row: MachineRow, options: {readonly state: ModelMachineState; readonly durationMilliseconds: number; readonly isDelayed: boolean}, now: number): void => {
		const {state, durationMilliseconds, isDelayed} = options;
		endWorker(row, isDelayed, now);
		row.worker = undefined;
		row.state = state;
		row.availableAt = now + durationMilliseconds;
	};

	return {
		machines,
		waves,
		add(row: {readonly machine: string; readonly pool: string; readonly zone: string; readonly rack: string}, now: number): MachineRow {
			const machine: MachineRow = {
				...row, state: ModelMachineState.Up, worker: undefined, availableAt: now, maintainedWaves: new Set(), maintenanceWave: undefined,
			};
			machines.set(row.machine, machine);
			machine.worker = startWorker(machine, now);
			return machine;
		},
		move(call: {readonly machine: string; readonly pool: string; readonly isDelayed?: boolean}, now: number): MachineResponse {
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
			takeDown(row, {state: ModelMachineState.Moving, durationMilliseconds: moveMilliseconds, isDelayed: call.isDelayed ?? false}, now);
			return 'accepted';
		},
		maintain(call: {readonly machine: string; readonly wave: number; readonly isDelayed?: boolean}, now: number): MachineResponse {
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
			takeDown(row, {state: ModelMachineState.Maintenance, durationMilliseconds: maintenanceMilliseconds, isDelayed: call.isDelayed ?? false}, now);
			return 'accepted';
		},
		/** Brings machines back up whose move or maintenance is over. */
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
