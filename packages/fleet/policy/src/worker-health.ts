/**
 * Sets workers aside that fail everything they start, after few victims, and
 * keeps jobs that fail everywhere from condemning the workers they meet.
 */
import type {InstanceId} from '@turmericbay/types';
import type {JobRow, WorkerRow} from './tables.js';
import {formatClass} from './learned-sizes.js';

/** Evidence of about three unrelated victims. */
const evidenceToSetAside = 2.5;
/** Recent outcomes kept per class; they tell a faulty class from a faulty worker. */
const outcomesPerClass = 32;
const firstProbeMilliseconds = 60_000;
const longestProbeMilliseconds = 3_600_000;
/** More than this part of a pool at once points to another cause than the workers. */
const maximumSetAsideFraction = 0.2;

type Outcome = {readonly worker: InstanceId; readonly succeeded: boolean};
type Health = {evidence: number; setAsideUntil: number | undefined; probeMilliseconds: number};

export type WorkerHealth = {
	recordSuccess(row: JobRow, worker: InstanceId): void;
	recordFailure(options: {row: JobRow; worker: WorkerRow; members: readonly WorkerRow[]; now: number}): void;
	/** False while the worker is set aside; after that, true for one job at a time until one succeeds. */
	mayStart(worker: WorkerRow, now: number): boolean;
	isSetAside(worker: InstanceId): boolean;
	evidence(worker: InstanceId): number;
	forgetWorker(worker: InstanceId): void;
};

export const createWorkerHealth = (): WorkerHealth => {
	const workers = new Map<InstanceId, Health>();
	const outcomes = new Map<string, Outcome[]>();

	const recordOutcome = (row: JobRow, outcome: Outcome) => {
		const name = formatClass(row);
		outcomes.set(name, [...outcomes.get(name) ?? [], outcome].slice(-outcomesPerClass));
	};

	/** Failures of the class on other workers; 0 if it has not run elsewhere. */
	const failureRateElsewhere = (row: JobRow, worker: InstanceId): number => {
		const elsewhere = (outcomes.get(formatClass(row)) ?? []).filter(outcome => outcome.worker !== worker);
		return elsewhere.length === 0 ? 0 : elsewhere.filter(outcome => !outcome.succeeded).length / elsewhere.length;
	};

	const setAside = (health: Health, members: readonly WorkerRow[], now: number) => {
		const count = members.filter(member => workers.get(member.worker)?.setAsideUntil !== undefined).length;
		if (health.setAsideUntil === undefined && count + 1 > Math.max(1, maximumSetAsideFraction * members.length)) {
			return;
		}

		health.setAsideUntil = now + health.probeMilliseconds;
		health.probeMilliseconds = Math.min(longestProbeMilliseconds, 2 * health.probeMilliseconds);
	};

	return {
		recordSuccess(row, worker) {
			recordOutcome(row, {worker, succeeded: true});
			workers.delete(worker);
		},
		recordFailure({row, worker, members, now}) {
			const health = workers.get(worker.worker) ?? {evidence: 0, setAsideUntil: undefined, probeMilliseconds: firstProbeMilliseconds};
			// A job that failed on other workers before says less about this one.
			const blame = (1 - failureRateElsewhere(row, worker.worker)) / (1 + row.failedOn.filter(other => other !== worker.worker).length);
			health.evidence += blame;
			workers.set(worker.worker, health);
			recordOutcome(row, {worker: worker.worker, succeeded: false});
			if (health.evidence >= evidenceToSetAside) {
				setAside(health, members, now);
			}
		},
		mayStart(worker, now) {
			const until = workers.get(worker.worker)?.setAsideUntil;
			return until === undefined || (now >= until && worker.tasks.size === 0);
		},
		isSetAside: worker => workers.get(worker)?.setAsideUntil !== undefined,
		evidence: worker => workers.get(worker)?.evidence ?? 0,
		forgetWorker(worker) {
			workers.delete(worker);
		},
	};
};
