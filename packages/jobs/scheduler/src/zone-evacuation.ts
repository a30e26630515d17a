/** The zones that the operator has evacuated, and how far their evacuation is. */
import {describeDisruption} from './availability.js';
import type {DisruptionEvent, ZoneEvacuationEvent} from './events.js';
import {DisruptionCause} from './events.js';
import type {EvacuationContext, EvacuationPlan} from './evacuation-moves.js';
import {planEvacuationMoves} from './evacuation-moves.js';
import {isActive} from './jobs.js';
import type {TaskRow, WorkerRow} from './model.js';

export type ZoneEvacuationStatus = {
	readonly zone: string;
	/** Time since the owner read the evacuation. */
	readonly milliseconds: number;
	/** Runs left on workers of the zone. */
	readonly runs: number;
};

/** A run that the previous owner has ordered to stop may still be reported as running; maintenance waits as long after a takeover. */
const takeoverDelayMilliseconds = 3500;

type EvacuatedZone = {readonly since: number; isEmpty: boolean};

export type ZoneEvacuation = ReturnType<typeof createZoneEvacuation>;

/** A new owner knows the runs of a worker once it has answered; those of one that does not answer are known from the records. */
const isKnown = (worker: WorkerRow): boolean => worker.isReconciled && (worker.lastContactAt > Number.NEGATIVE_INFINITY || worker.unansweredCalls > 0);

export const createZoneEvacuation = (options: {
	readonly workers: ReadonlyMap<string, WorkerRow>;
	/** False for the first owner, whose counts of tasks that are away lack no orders of another. */
	readonly hasPreviousOwner: boolean;
	readonly emit: (event: ZoneEvacuationEvent | DisruptionEvent) => void;
}) => {
	const {workers, hasPreviousOwner, emit} = options;
	let movesFrom = hasPreviousOwner ? undefined : Number.NEGATIVE_INFINITY;
	const zones = new Map<string, EvacuatedZone>();
	/** Tasks that were moved and have no run elsewhere yet. */
	const leaving = new Set<TaskRow>();

	const listWorkers = (zone: string): WorkerRow[] => [...workers.values()].filter(worker => worker.registration.zone === zone);

	const measure = (zone: string, {since}: EvacuatedZone, now: number): ZoneEvacuationStatus => {
		let runs = 0;
		for (const worker of listWorkers(zone)) {
			runs += worker.runs.size;
		}

		return {zone, runs, milliseconds: Math.round(now - since)};
	};

	const refreshWorkers = (): void => {
		for (const worker of workers.values()) {
			worker.isZoneEvacuated = zones.has(worker.registration.zone);
		}
	};

	return {
		isEvacuated: (zone: string): boolean => zones.has(zone),
		/** Applies the operator's current list at once. */
		setZones(next: ReadonlySet<string>, now: number): void {
			for (const [zone, state] of zones) {
				if (!next.has(zone)) {
					zones.delete(zone);
					emit({type: 'zone-evacuation-cancelled', ...measure(zone, state, now)});
				}
			}

			for (const zone of next) {
				if (!zones.has(zone)) {
					const state: EvacuatedZone = {since: now, isEmpty: false};
					zones.set(zone, state);
					emit({type: 'zone-evacuation-begun', ...measure(zone, state, now)});
				}
			}

			refreshWorkers();
		},
		/** Called at the beginning of each tick: workers register and change their zone. */
		refresh(now: number): void {
			movesFrom ??= now + takeoverDelayMilliseconds;
			refreshWorkers();
			for (const [zone, state] of zones) {
				const zoneWorkers = listWorkers(zone);
				if (!state.isEmpty && zoneWorkers.every(worker => worker.runs.size === 0 && isKnown(worker))) {
					state.isEmpty = true;
					emit({type: 'zone-emptied', ...measure(zone, state, now)});
				}
			}

			for (const task of leaving) {
				const isElsewhere = [...task.runs.values()].some(row => !row.isEvacuating && !row.worker.isZoneEvacuated);
				if (task.done || isElsewhere || zones.size === 0 || !isActive(task.step.job)) {
					leaving.delete(task);
				}
			}
		},
		measure: (now: number): ZoneEvacuationStatus[] => [...zones].map(([zone, state]) => measure(zone, state, now)),
		plan(context: Omit<EvacuationContext, 'leaving'>): EvacuationPlan {
			const mayMove = zones.size > 0 && movesFrom !== undefined && context.now >= movesFrom;
			return mayMove ? planEvacuationMoves({...context, leaving}) : {moved: [], unadvised: new Map()};
		},
		/** Marks the runs of the plan; they are stopped, and placement starts their tasks elsewhere. */
		apply(plan: EvacuationPlan, now: number): void {
			for (const row of plan.moved) {
				emit(describeDisruption({
					cause: DisruptionCause.ZoneEvacuation, worker: row.worker, row, now,
				}));
				row.isEvacuating = true;
				leaving.add(row.task);
			}
		},
	};
};
