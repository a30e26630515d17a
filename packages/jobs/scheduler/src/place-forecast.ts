/**
 * Forecasts when workers will have capacity, from the expected remaining times of their runs.
 * Each expected start reserves its part, so that several tasks do not wait for the same capacity.
 */
import type {DurationEstimator} from './durations.js';
import type {
	Resources, RunRow, TaskRow, WorkerRow,
} from './model.js';
import {findRack, RunPhase} from './model.js';
import type {ForecastSlot} from './place-wait.js';
import {getReservedResources} from './workers.js';

/** Lower estimates of a worker's speed would give meaningless run times. */
const minimumSpeed = 0.1;
/** A run that has exceeded its expected run time is expected to need this share of it in addition. */
const overdueShare = 0.1;
/** Workers stop a run within about this time. */
const stopMilliseconds = 200;

type MutableResources = {cpuMillis: number; memoryMegabytes: number; accelerators: number};

/** Expected free resources of one worker over time. */
type Profile = {
	readonly worker: WorkerRow;
	/** Free resources at `from`. */
	readonly free: MutableResources;
	from: number;
	/** Ends of runs after `from`, in ascending order. */
	releases: Array<{readonly at: number; readonly resources: Resources}>;
	/** The latest answer of `findStart`, valid until the profile changes. */
	known: {readonly required: Resources; readonly startAt: number | undefined} | undefined;
};

export type Demand = {
	readonly required: Resources;
	/** Run time on a worker of normal speed. */
	readonly durationMilliseconds: number;
	readonly isEligible: (worker: WorkerRow) => boolean;
};

type Slot = ForecastSlot & {readonly profile: Profile};

export type CapacityForecast = ReturnType<typeof createCapacityForecast>;

export const getSpeed = (worker: WorkerRow): number => Math.max(minimumSpeed, worker.speed);

/** Factor of the run time of a task on the worker, against a worker of normal speed at its preferred place. */
export const getRunTimeFactor = (task: TaskRow, worker: WorkerRow, farFactor: number): number => {
	const {preferredRack} = task.step.declaration;
	return (preferredRack === undefined || findRack(worker.registration) === preferredRack ? 1 : farFactor) / getSpeed(worker);
};

const add = (target: MutableResources, resources: Resources, sign: 1 | -1): void => {
	target.cpuMillis += sign * resources.cpuMillis;
	target.memoryMegabytes += sign * resources.memoryMegabytes;
	target.accelerators += sign * resources.accelerators;
};

const isCovered = (required: Resources, free: Resources): boolean =>
	required.cpuMillis <= free.cpuMillis && required.memoryMegabytes <= free.memoryMegabytes && required.accelerators <= free.accelerators;

const isEqual = (left: Resources, right: Resources): boolean =>
	left.cpuMillis === right.cpuMillis && left.memoryMegabytes === right.memoryMegabytes && left.accelerators === right.accelerators;

/** When the required resources are free on the worker; undefined if its long-running tasks leave too little. */
const findStart = (profile: Profile, required: Resources): number | undefined => {
	if (isCovered(required, profile.free)) {
		return profile.from;
	}

	const free = {...profile.free};
	for (const {at, resources} of profile.releases) {
		add(free, resources, 1);
		if (isCovered(required, free)) {
			return at;
		}
	}

	return undefined;
};

const findKnownStart = (profile: Profile, required: Resources): number | undefined => {
	if (!profile.known || !isEqual(profile.known.required, required)) {
		profile.known = {required, startAt: findStart(profile, required)};
	}

	return profile.known.startAt;
};

export const createCapacityForecast = (options: {
	readonly workers: readonly WorkerRow[];
	readonly durations: DurationEstimator;
	readonly farFactor: number;
	readonly now: number;
}) => {
	const {workers, durations, farFactor, now} = options;

	const estimateRemaining = (row: RunRow): number => {
		if (row.phase === RunPhase.Stopping || row.isEvacuating) {
			return stopMilliseconds;
		}

		const expected = durations.estimateTask(row.task) * getRunTimeFactor(row.task, row.worker, farFactor);
		const elapsed = Math.max(0, now - (row.confirmedAt ?? row.startedAt));
		return Math.max(expected - elapsed, expected * overdueShare);
	};

	const createProfile = (worker: WorkerRow): Profile => {
		const {capacity} = worker.registration;
		const free = {...capacity};
		add(free, worker.used, -1);
		const releases = [...worker.runs.values()]
			.filter(row => !row.task.step.declaration.longRunning)
			.map(row => ({at: now + estimateRemaining(row), resources: getReservedResources(row.task)}))
			.toSorted((left, right) => left.at - right.at);
		return {
			worker, free, from: now, releases, known: undefined,
		};
	};

	let profiles = workers.map(worker => createProfile(worker));

	const findSlot = ({required, durationMilliseconds, isEligible}: Demand): Slot | undefined => {
		let best: Slot | undefined;
		for (const profile of profiles) {
			const startAt = isEligible(profile.worker) ? findKnownStart(profile, required) : undefined;
			const endAt = startAt === undefined ? Number.POSITIVE_INFINITY : startAt + (durationMilliseconds / getSpeed(profile.worker));
			if (startAt !== undefined && (best === undefined || endAt < best.endAt)) {
				best = {profile, startAt, endAt};
			}
		}

		return best;
	};

	/** Nothing starts on the worker before this slot does: tasks start in their order. */
	const reserve = ({profile, startAt, endAt}: Slot, required: Resources): void => {
		for (const release of profile.releases) {
			if (release.at <= startAt) {
				add(profile.free, release.resources, 1);
			}
		}

		add(profile.free, required, -1);
		profile.from = startAt;
		profile.known = undefined;
		profile.releases = [...profile.releases.filter(release => release.at > startAt), {at: endAt, resources: required}]
			.toSorted((left, right) => left.at - right.at);
	};

	return {
		/** The slot in which the task would end first; undefined if no worker can run it. */
		findFirst: (demand: Demand): ForecastSlot | undefined => findSlot(demand),
		/** Reserves the slot that `findFirst` returns. */
		reserve(demand: Demand): void {
			const slot = findSlot(demand);
			if (slot) {
				reserve(slot, demand.required);
			}
		},
		/** Takes up capacity for a run that starts now. */
		recordStart(row: RunRow): void {
			const profile = profiles.find(({worker}) => worker === row.worker);
			if (!profile) {
				return;
			}

			const resources = getReservedResources(row.task);
			add(profile.free, resources, -1);
			profile.known = undefined;
			if (!row.task.step.declaration.longRunning) {
				profile.releases = [...profile.releases, {at: now + estimateRemaining(row), resources}].toSorted((left, right) => left.at - right.at);
			}
		},
		/** When `count` tasks can start together, which take the same time; reserves their capacity if `isReserved`. */
		findTogether(demand: Demand, count: number, isReserved: boolean): ForecastSlot | undefined {
			const previous = profiles;
			profiles = previous.map(profile => ({...profile, free: {...profile.free}}));
			let startAt = now;
			let durationMilliseconds = 0;
			let placed = 0;
			for (; placed < count; placed += 1) {
				const slot = findSlot(demand);
				if (!slot) {
					break;
				}

				startAt = Math.max(startAt, slot.startAt);
				durationMilliseconds = Math.max(durationMilliseconds, demand.durationMilliseconds / getSpeed(slot.profile.worker));
				// Members hold their capacity until all of them have started and ended.
				reserve({...slot, endAt: Number.POSITIVE_INFINITY}, demand.required);
			}

			if (placed < count || !isReserved) {
				profiles = previous;
			}

			return placed < count ? undefined : {startAt, endAt: startAt + durationMilliseconds};
		},
	};
};
