/**
 * Sets workers aside that fail everything they start, after few victims, and
 * keeps jobs that fail everywhere from condemning the workers they meet.
 */
import type {InstanceId} from '@turmericbay/types';
import type {JobRow, WorkerRow} from './tables.js';
import {formatJobClass} from './learned-sizes.js';

/** Evidence of about three unrelated victims. */
const quarantineThreshold = 2.5;
/** Recent outcomes kept per class; they tell a faulty class from a faulty worker. */
const outcomesPerClass = 32;
const initialQuarantineMilliseconds = 60_000;
const maximumQuarantineMilliseconds = 3_600_000;
/** More than this part of a pool at once points to another cause than the workers. */
const maximumQuarantinedFraction = 0.2;

type Outcome = {readonly worker: InstanceId; readonly succeeded: boolean};
type HealthRecord = {failureScore: number; quarantinedUntil: number | undefined; quarantineMilliseconds: number};

export type WorkerHealth = {
	recordSuccess(row: JobRow, worker: InstanceId): void;
	recordFailure(options: {row: JobRow; worker: WorkerRow; members: readonly WorkerRow[]; now: number}): void;
	/** False while the worker is set aside; after that, true for one job at a time until one succeeds. */
	mayStart(worker: WorkerRow, now: number): boolean;
	isQuarantined(worker: InstanceId): boolean;
	getFailureScore(worker: InstanceId): number;
	forgetWorker(worker: InstanceId): void;
};

export const createWorkerHealth = (): WorkerHealth => {
	const workers = new Map<InstanceId, HealthRecord>();
	const outcomes = new Map<string, Outcome[]>();

	const recordOutcome = (row: JobRow, outcome: Outcome) => {
		const name = formatJobClass(row);
		outcomes.set(name, [...outcomes.get(name) ?? [], outcome].slice(-outcomesPerClass));
	};

	/** Failures of the class on other workers; 0 if it has not run elsewhere. */
	const computeFailureRateElsewhere = (row: JobRow, worker: InstanceId): number => {
		const elsewhere = (outcomes.get(formatJobClass(row)) ?? []).filter(outcome => outcome.worker !== worker);
		return elsewhere.length === 0 ? 0 : elsewhere.filter(outcome => !outcome.succeeded).length / elsewhere.length;
	};

	const quarantine = (health: HealthRecord, members: readonly WorkerRow[], now: number) => {
		const count = members.filter(member => workers.get(member.worker)?.quarantinedUntil !== undefined).length;
		if (health.quarantinedUntil === undefined && count + 1 > Math.max(1, maximumQuarantinedFraction * members.length)) {
			return;
		}

		health.quarantinedUntil = now + health.quarantineMilliseconds;
		health.quarantineMilliseconds = Math.min(maximumQuarantineMilliseconds, 2 * health.quarantineMilliseconds);
	};

	return {
		recordSuccess(row, worker) {
			recordOutcome(row, {worker, succeeded: true});
			workers.delete(worker);
		},
		recordFailure({row, worker, members, now}) {
			const health = workers.get(worker.worker) ?? {failureScore: 0, quarantinedUntil: undefined, quarantineMilliseconds: initialQuarantineMilliseconds};
			// A job that failed on other workers before says less about this one.
			const failureWeight = (1 - computeFailureRateElsewhere(row, worker.worker)) / (1 + row.failedOn.filter(other => other !== worker.worker).length);
			health.failureScore += failureWeight;
			workers.set(worker.worker, health);
			recordOutcome(row, {worker: worker.worker, succeeded: false});
			if (health.failureScore >= quarantineThreshold) {
				quarantine(health, members, now);
			}
		},
		mayStart(worker, now) {
			const until = workers.get(worker.worker)?.quarantinedUntil;
			return until === undefined || (now >= until && worker.runningJobs.size === 0);
		},
		isQuarantined: worker => workers.get(worker)?.quarantinedUntil !== undefined,
		getFailureScore: worker => workers.get(worker)?.failureScore ?? 0,
		forgetWorker(worker) {
			workers.delete(worker);
		},
	};
};
