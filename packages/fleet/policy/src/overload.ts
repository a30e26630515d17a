/** Relieves workers whose jobs use more than there is: throttle, then checkpoint, then stop. */
import type {FleetAction} from './actions.js';
import {addResources, dominantFraction} from './resources.js';
import {TaskPressure} from './tables.js';
import type {FleetTables, JobRow, WorkerRow} from './tables.js';

/** Time for a response to show in the lagging usage reports. */
const responseMilliseconds = 5000;
/** A checkpoint that is not done by then is given up; leaves an urgent start its 9.6 s. */
export const checkpointMilliseconds = 4000;
/** Throttled jobs run freely again below this use; the gap to 1 keeps them from flapping. */
const relievedFraction = 0.8;

/** How far a job is above its estimate, as a fraction of the worker. */
const measureExcess = (row: JobRow, worker: WorkerRow): number => row.task?.used
	? dominantFraction(addResources(row.task.used, row.task.estimate.expected, -1), worker.capacity)
	: 0;

export const setPressure = (options: {row: JobRow; worker: WorkerRow; pressure: TaskPressure; now: number}): FleetAction[] => {
	const {row, worker, pressure, now} = options;
	if (!row.task || row.task.pressure === pressure) {
		return [];
	}

	worker.pressed += Number(pressure !== TaskPressure.None) - Number(row.task.pressure !== TaskPressure.None);
	row.task.pressure = pressure;
	row.task.pressureSince = now;
	const {job} = row;
	switch (pressure) {
		case TaskPressure.None: {
			return [{type: 'unthrottle', job}];
		}

		case TaskPressure.Throttled: {
			return [{type: 'throttle', job}];
		}

		case TaskPressure.Checkpointing: {
			return [{type: 'checkpoint', job}];
		}

		case TaskPressure.Stopping: {
			return [{type: 'stop', job}];
		}
	}
};

const nextPressure: Readonly<Record<TaskPressure, TaskPressure>> = {
	[TaskPressure.None]: TaskPressure.Throttled,
	[TaskPressure.Throttled]: TaskPressure.Checkpointing,
	[TaskPressure.Checkpointing]: TaskPressure.Stopping,
	[TaskPressure.Stopping]: TaskPressure.Stopping,
};

const relieveWorker = (worker: WorkerRow, now: number): FleetAction[] => {
	const rows = [...worker.tasks.values()];
	const isWaiting = rows.some(row => row.task && row.task.pressure !== TaskPressure.None && now - row.task.pressureSince < responseMilliseconds);
	if (isWaiting) {
		return [];
	}

	// Work that is not urgent and goes furthest beyond its estimate yields first.
	const [worst] = rows
		.filter(row => row.task?.pressure !== TaskPressure.Stopping)
		.toSorted((left, right) => Number(left.urgent) - Number(right.urgent) || measureExcess(right, worker) - measureExcess(left, worker));
	return worst?.task
		? setPressure({
			row: worst, worker, pressure: nextPressure[worst.task.pressure], now,
		})
		: [];
};

const releaseThrottles = (worker: WorkerRow, now: number): FleetAction[] =>
	[...worker.tasks.values()].filter(row => row.task?.pressure === TaskPressure.Throttled).flatMap(row => setPressure({
		row, worker, pressure: TaskPressure.None, now,
	}));

const giveUpCheckpoints = (worker: WorkerRow, now: number): FleetAction[] => [...worker.tasks.values()]
	.filter(row => row.task?.pressure === TaskPressure.Checkpointing && now - row.task.pressureSince >= checkpointMilliseconds)
	.flatMap(row => setPressure({
		row, worker, pressure: TaskPressure.Stopping, now,
	}));

export const relieveOverload = (tables: FleetTables, now: number): FleetAction[] => {
	const actions: FleetAction[] = [];
	for (const worker of tables.workers.values()) {
		const fraction = dominantFraction(worker.observed, worker.capacity);
		if (fraction <= 1 && worker.pressed === 0) {
			continue;
		}

		actions.push(...giveUpCheckpoints(worker, now));
		if (fraction > 1) {
			actions.push(...relieveWorker(worker, now));
		} else if (fraction < relievedFraction) {
			actions.push(...releaseThrottles(worker, now));
		}
	}

	return actions;
};
