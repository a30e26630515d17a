/** Reconciles what a worker says is running and has ended with the tables. */
import type {JobTable} from './jobs.js';
import {isActive} from './jobs.js';
import type {
	EndedEntry, QueuePolicy, RunRow, TaskRow, RunReport, WorkerRow,
} from './model.js';
import {
	EndReason, formatRunKey, JobState, RunPhase,
} from './model.js';
import type {WorkerTable} from './workers.js';

export type SchedulerEvent
	= | {readonly type: 'run-ended'; readonly task: string; readonly run: number; readonly worker: string; readonly reason: EndReason | 'lost' | 'not-run'}
		| {readonly type: 'run-adopted'; readonly task: string; readonly run: number; readonly worker: string}
		| {readonly type: 'run-unwanted'; readonly task: string; readonly run: number; readonly worker: string}
		| {readonly type: 'worker-reborn'; readonly worker: string}
		| {readonly type: 'worker-lapsed'; readonly worker: string; readonly runs: number}
		| {readonly type: 'job-failed'; readonly job: string; readonly task: string; readonly attempts: number};

/** A run of a task that nobody wants any more and that has no row. */
export type UnwantedRun = {readonly worker: WorkerRow; readonly task: string; readonly run: number};

export type Reconciler = ReturnType<typeof createReconciler>;

export const createReconciler = (options: {
	readonly jobs: JobTable;
	readonly workers: WorkerTable;
	/** Lower runs were started by former owners. */
	readonly firstRun: number;
	readonly policyOf: (queue: string) => QueuePolicy | undefined;
	readonly emit: (event: SchedulerEvent) => void;
}) => {
	const {jobs, workers, firstRun, policyOf, emit} = options;
	const unwantedRuns: UnwantedRun[] = [];

	const dropRun = (row: RunRow, reason: EndReason | 'lost' | 'not-run'): void => {
		emit({
			type: 'run-ended', task: row.task.name, run: row.run, worker: row.worker.registration.id, reason,
		});
		workers.removeRun(row);
	};

	const failJob = (task: TaskRow, attempts: number): void => {
		const {job} = task.step;
		if (isActive(job)) {
			job.state = JobState.Failed;
			jobs.markChanged(job);
			emit({
				type: 'job-failed', job: job.declaration.id, task: task.name, attempts,
			});
		}
	};

	const countFailure = (task: TaskRow, run: number, worker: WorkerRow): void => {
		if (task.failedRuns.includes(run)) {
			return;
		}

		task.failedWorkers.push(worker.registration.id);
		if (task.step.declaration.longRunning) {
			return;
		}

		const limit = policyOf(task.step.job.declaration.queue)?.maximumAttempts ?? Number.POSITIVE_INFINITY;
		task.failedRuns.push(run);
		jobs.markChanged(task.step.job);
		if (task.failedRuns.length >= limit) {
			failJob(task, task.failedRuns.length);
		}
	};

	const markDone = (task: TaskRow): void => {
		const members = task.step.declaration.gang ? task.step.tasks : [task];
		for (const member of members) {
			jobs.markTaskDone(member);
		}
	};

	const applyEnd = (worker: WorkerRow, entry: EndedEntry): void => {
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
				markDone(task);
				break;
			}

			case EndReason.Failed: {
				worker.recentFailures += 1;
				countFailure(task, entry.run, worker);
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

	const handleRestart = (worker: WorkerRow, bornAt: number | undefined): void => {
		emit({type: 'worker-reborn', worker: worker.registration.id});
		worker.incarnation = bornAt;
		worker.lastAppliedSequence = 0;
		for (const row of worker.runs.values()) {
			if (row.phase === RunPhase.Starting || row.phase === RunPhase.Unconfirmed) {
				// The order may still be carried out, by the new life as well.
				row.phase = RunPhase.Unconfirmed;
				row.unconfirmedAt ??= row.startedAt;
				row.stopAcknowledgedAt = undefined;
			} else {
				dropRun(row, 'lost');
			}
		}
	};

	const adopt = (worker: WorkerRow, name: string, run: number, now: number): RunRow | undefined => {
		const task = jobs.findTask(name);
		if (!task || !isActive(task.step.job) || task.done || task.runs.size > 0) {
			// A second run of a task is stopped even if it is speculative: only one row is kept for a task that another owner started.
			unwantedRuns.push({worker, task: name, run});
			emit({
				type: 'run-unwanted', task: name, run, worker: worker.registration.id,
			});
			return undefined;
		}

		emit({
			type: 'run-adopted', task: name, run, worker: worker.registration.id,
		});
		if (!task.step.job.begun) {
			task.step.job.begun = true;
			jobs.markChanged(task.step.job);
		}

		return workers.addRun({
			task, worker, run, phase: RunPhase.Running, now,
		});
	};

	return {
		/** Runs to be stopped that have no row; emptied by the caller. */
		unwantedRuns,
		dropRun,
		handleRestart,
		/** Applies the answer to a call that was sent at `sentAt`. */
		applyRunReport(change: {readonly worker: WorkerRow; readonly report: RunReport; readonly sentAt: number; readonly now: number}): void {
			const {worker, report: lists, sentAt, now} = change;
			if (lists.incarnation !== undefined && worker.incarnation !== undefined && lists.incarnation !== worker.incarnation) {
				handleRestart(worker, lists.incarnation);
			}

			worker.incarnation = lists.incarnation ?? worker.incarnation;
			worker.isReconciled = true;
			for (const entry of lists.ended) {
				if (entry.sequence > worker.lastAppliedSequence) {
					worker.lastAppliedSequence = entry.sequence;
					applyEnd(worker, entry);
				}
			}

			const seen = new Set<string>();
			for (const entry of lists.running) {
				const key = formatRunKey(entry.task, entry.run);
				seen.add(key);
				const row = worker.runs.get(key) ?? adopt(worker, entry.task, entry.run, now);
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
				row.measured = entry.measured;
				row.task.checkpoint = entry.checkpoint === '' ? row.task.checkpoint : entry.checkpoint;
			}

			if (lists.partial) {
				return;
			}

			for (const [key, row] of worker.runs) {
				if (seen.has(key)) {
					continue;
				}

				const isConfirmedBefore = row.confirmedAt !== undefined && row.confirmedAt < sentAt;
				const isStoppedBefore = row.stopAcknowledgedAt !== undefined && row.stopAcknowledgedAt < sentAt;
				if ((row.phase === RunPhase.Running || row.phase === RunPhase.Stopping) && (isConfirmedBefore || isStoppedBefore)) {
					dropRun(row, 'lost');
				} else if (row.phase === RunPhase.Unconfirmed && (isStoppedBefore || row.run < firstRun)) {
					// A worker that knows the newer fencing token refuses late orders of former owners.
					dropRun(row, 'not-run');
				}
			}
		},
		/** Gives up the runs of workers whose leases have lapsed. */
		dropExpiredRuns(now: number): void {
			for (const worker of workers.workers.values()) {
				if (now < worker.latestLeaseExpiry) {
					continue;
				}

				worker.isReconciled = true;
				if (worker.runs.size > 0) {
					emit({type: 'worker-lapsed', worker: worker.registration.id, runs: worker.runs.size});
					for (const row of worker.runs.values()) {
						dropRun(row, 'lost');
					}
				}
			}
		},
	};
};
