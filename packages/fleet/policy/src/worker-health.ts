/**
 * Quarantines workers on which all jobs fail, after a few failures. Failures
 * of jobs that also fail on other workers count less, so that a faulty job
 * does not lead to the quarantine of healthy workers.
 */
import type {InstanceId} from '@turmericbay/types';
import type {JobRow, WorkerRow} from './tables.js';
import {formatJobClass} from './learned-sizes.js';

/** Reached after failures of about three unrelated jobs. */
const quarantineThreshold = 2.5;
/** Recent outcomes kept per job class, to distinguish faulty jobs from faulty workers. */
const outcomesPerClass = 32;
const initialQuarantineMilliseconds = 60_000;
const maximumQuarantineMilliseconds = 3_600_000;
/** If more of a pool fails at once, the cause is probably not the workers. */
const maximumQuarantinedFraction = 0.2;

type Outcome = {readonly worker: InstanceId; readonly succeeded: boolean};
type HealthRecord = {failureScore: number; quarantinedUntil: number | undefined; quarantineMilliseconds: number};

export type WorkerHealth = {
	recordSuccess(row: JobRow, worker: InstanceId): void;
	recordFailure(options: {row: JobRow; worker: WorkerRow; members: readonly WorkerRow[]; now: number}): void;
	/** Whether a job may start on the worker. After a quarantine, one job at a time may start until one succeeds. */
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

	/** Failure rate of the job's class on other workers; 0 if the class has not run elsewhere. */
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
			// A failure counts less if the job or its class has also failed on other workers.
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
