/** Reconciles the tables with the workers' reports of their running and ended runs. */
import type {CrashTracker} from './crashes.js';
import type {DurationEstimator} from './durations.js';
import type {SchedulerEvent} from './events.js';
import {JobFailureCause, ProcessEndEvidence} from './events.js';
import type {FailJob} from './job-failures.js';
import type {JobTable} from './jobs.js';
import {isActive} from './jobs.js';
import type {
	EndedEntry, QueuePolicy, RunReport, RunRow, TaskRow, WorkerRow,
} from './model.js';
import {
	EndReason, formatRunKey, RunPhase,
} from './model.js';
import {describeKnowledge} from './worker-knowledge.js';
import type {WorkerTable} from './workers.js';

/** A run on a worker that has no row and must be stopped. */
export type UnwantedRun = {readonly worker: WorkerRow; readonly task: string; readonly run: number};

export type Reconciler = ReturnType<typeof createReconciler>;

export const createReconciler = (options: {
	readonly jobs: JobTable;
	readonly workers: WorkerTable;
	readonly crashes: CrashTracker;
	readonly failJob: FailJob;
	readonly durations: DurationEstimator;
	/** Runs with lower numbers were started by previous owners. */
	readonly firstRunOfEpoch: number;
	readonly getPolicy: (queue: string) => QueuePolicy | undefined;
	readonly emit: (event: SchedulerEvent) => void;
}) => {
	const {jobs, workers, crashes, failJob, durations, firstRunOfEpoch, getPolicy, emit} = options;
	const unwantedRuns: UnwantedRun[] = [];
	let adoptedRuns: RunRow[] = [];
	/** Time of the newest report or tick. */
	let newestTime = 0;

	const dropRun = (row: RunRow, reason: EndReason | 'lost' | 'not-run'): void => {
		emit({
			type: 'run-ended', task: row.task.name, run: row.run, worker: row.worker.registration.id, reason,
		});
		workers.removeRun(row);
	};

	const recordFailure = (task: TaskRow, run: number, worker: WorkerRow): void => {
		if (task.failedRuns.includes(run)) {
			return;
		}

		task.failedWorkers.push(worker.registration.id);
		if (task.step.declaration.longRunning) {
			return;
		}

		const limit = getPolicy(task.step.job.declaration.queue)?.maximumAttempts ?? Number.POSITIVE_INFINITY;
		task.failedRuns.push(run);
		jobs.markChanged(task.step.job);
		if (task.failedRuns.length >= limit) {
			failJob({task, attempts: task.failedRuns.length, cause: JobFailureCause.Failures});
		}
	};

	const markDone = (task: TaskRow): void => {
		const members = task.step.declaration.gang ? task.step.tasks : [task];
		for (const member of members) {
			jobs.markTaskDone(member);
		}
	};

	const applyEndedRun = (worker: WorkerRow, entry: EndedEntry, now: number): void => {
		const row = worker.runs.get(formatRunKey(entry.task, entry.run));
		const task = row?.task ?? jobs.findTask(entry.task);
		if (row) {
			dropRun(row, entry.reason);
		}

		if (!task || task.done) {
			return;
		}

		task.lastRun = Math.max(task.lastRun, entry.run);
		if (entry.checkpoint !== '' && entry.checkpoint !== task.checkpoint) {
			task.checkpoint = entry.checkpoint;
			if (task.step.declaration.gang) {
				for (const member of task.step.tasks) {
					member.checkpoint = entry.checkpoint;
				}
			}

			jobs.markChanged(task.step.job);
		}

		switch (entry.reason) {
			case EndReason.Done: {
				worker.recentSuccesses += 1;
				if (row) {
					durations.recordRun(row, now);
				}

				markDone(task);
				break;
			}

			case EndReason.Failed: {
				worker.recentFailures += 1;
				recordFailure(task, entry.run, worker);
				break;
			}

			case EndReason.Stopped:
			case EndReason.LeaseExpired:
			case EndReason.GangMemberEnded:
			case EndReason.GangTimeout: {
				break;
			}
		}
	};

	const handleRestart = (worker: WorkerRow, incarnation: number | undefined, evidence: ProcessEndEvidence): void => {
		emit({
			type: 'worker-reborn', ...describeKnowledge(worker, newestTime), evidence, nextIncarnation: incarnation,
		});
		crashes.recordEnd(worker);
		worker.incarnation = incarnation;
		worker.generation = workers.nextGeneration(worker.registration.id);
		worker.lastAppliedSequence = 0;
		for (const row of worker.runs.values()) {
			if (row.phase === RunPhase.Starting || row.phase === RunPhase.Unconfirmed) {
				// The start request may be delayed in the network and reach the restarted worker.
				row.phase = RunPhase.Unconfirmed;
				row.unconfirmedAt ??= row.startedAt;
				row.stopAcknowledgedAt = undefined;
			} else {
				dropRun(row, 'lost');
			}
		}
	};

	/** Withdraws the starts of a task that have not been sent: another run of it has been found. */
	const dropUnsentRuns = (task: TaskRow): void => {
		for (const row of task.runs.values()) {
			if (row.phase === RunPhase.Starting && !row.isSent) {
				dropRun(row, 'not-run');
			}
		}
	};

	const adoptRun = (worker: WorkerRow, taskName: string, run: number, now: number): RunRow | undefined => {
		const task = jobs.findTask(taskName);
		if (task && !task.step.declaration.gang) {
			dropUnsentRuns(task);
		}

		if (!task || !isActive(task.step.job) || task.done || task.runs.size > 0) {
			// A second run of a task is stopped even if the step is speculative: only one run started by another owner is adopted per task.
			unwantedRuns.push({worker, task: taskName, run});
			emit({
				type: 'run-unwanted', task: taskName, run, worker: worker.registration.id,
			});
			return undefined;
		}

		emit({
			type: 'run-adopted', task: taskName, run, worker: worker.registration.id,
		});
		if (!task.step.job.begun) {
			task.step.job.begun = true;
			jobs.markChanged(task.step.job);
		}

		const row = workers.addRun({
			task, worker, run, phase: RunPhase.Running, now,
		});
		adoptedRuns.push(row);
		return row;
	};

	return {
		/** Emptied by the caller, which stops these runs. */
		unwantedRuns,
		/** Returns the runs that have been found on workers since the last call. The caller stores them, since they may not be recorded. */
		takeAdoptedRuns(): RunRow[] {
			const taken = adoptedRuns;
			adoptedRuns = [];
			return taken;
		},
		dropRun,
		handleRestart,
		/** Applies the report in the response to a call that was sent at `sentAt`. */
		applyRunReport(change: {readonly worker: WorkerRow; readonly report: RunReport; readonly sentAt: number; readonly now: number}): void {
			const {worker, report, sentAt, now} = change;
			newestTime = now;
			if (report.incarnation !== undefined && worker.incarnation !== undefined && report.incarnation !== worker.incarnation) {
				handleRestart(worker, report.incarnation, ProcessEndEvidence.Report);
			}

			worker.incarnation = report.incarnation ?? worker.incarnation;
			worker.isReconciled = true;
			crashes.recordAnswer(worker);
			for (const entry of report.ended) {
				if (entry.sequence > worker.lastAppliedSequence) {
					worker.lastAppliedSequence = entry.sequence;
					applyEndedRun(worker, entry, now);
				}
			}

			const reportedKeys = new Set<string>();
			for (const entry of report.running) {
				const key = formatRunKey(entry.task, entry.run);
				reportedKeys.add(key);
				const row = worker.runs.get(key) ?? adoptRun(worker, entry.task, entry.run, now);
				if (!row) {
					continue;
				}

				if (row.phase === RunPhase.Starting || row.phase === RunPhase.Unconfirmed) {
					row.phase = RunPhase.Running;
					row.confirmedAt ??= now;
				}

				if (entry.percent !== row.percent) {
					row.progressedAt = now;
				}

				row.percent = entry.percent;
				if (row.task.step.declaration.longRunning && row.percent >= 100) {
					crashes.recordAtWork(row.task);
				}

				row.latencyOrCpuUsage = entry.latencyOrCpuUsage;
				row.task.checkpoint = entry.checkpoint === '' ? row.task.checkpoint : entry.checkpoint;
			}

			if (report.hasMoreEnded) {
				return;
			}

			for (const [key, row] of worker.runs) {
				if (reportedKeys.has(key)) {
					continue;
				}

				const wasConfirmedBeforeCall = row.confirmedAt !== undefined && row.confirmedAt < sentAt;
				const wasStoppedBeforeCall = row.stopAcknowledgedAt !== undefined && row.stopAcknowledgedAt < sentAt;
				if ((row.phase === RunPhase.Running || row.phase === RunPhase.Stopping) && (wasConfirmedBeforeCall || wasStoppedBeforeCall)) {
					dropRun(row, 'lost');
				} else if (row.phase === RunPhase.Unconfirmed && (wasStoppedBeforeCall || row.run < firstRunOfEpoch)) {
					// A worker that has seen the current fencing token rejects delayed requests from previous owners.
					dropRun(row, 'not-run');
				}
			}
		},
		/** Drops the runs of a worker whose process has ended. */
		dropLostRuns(worker: WorkerRow, evidence: ProcessEndEvidence): void {
			if (worker.runs.size > 0) {
				emit({type: 'worker-lost', ...describeKnowledge(worker, newestTime), evidence});
			}

			for (const row of worker.runs.values()) {
				dropRun(row, 'lost');
			}
		},
		/** Drops the runs of workers whose leases have expired. */
		dropExpiredRuns(now: number): void {
			newestTime = now;
			for (const worker of workers.workers.values()) {
				if (now < worker.latestLeaseExpiry) {
					continue;
				}

				worker.isReconciled = true;
				if (worker.runs.size > 0) {
					emit({type: 'worker-lapsed', ...describeKnowledge(worker, now)});
					crashes.recordExpiry(worker, now);
					for (const row of worker.runs.values()) {
						dropRun(row, 'lost');
					}
				}
			}
		},
	};
};
