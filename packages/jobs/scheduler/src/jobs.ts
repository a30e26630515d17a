/** The table of jobs with their occurrences, steps and tasks, and the state changes when tasks end. */
import type {
	JobDeclaration, JobRow, QueuePolicy, StepDeclaration, StepRow, TaskRow,
} from './model.js';
import {formatTaskName, JobState} from './model.js';
import {countOpenableOccurrences, largestJobRows} from './occurrence-window.js';
import type {JobProgress} from './progress.js';

export const isFinalState = (state: JobState): boolean => state !== JobState.Queued && state !== JobState.Running;

export const isActive = (job: JobRow): boolean => !isFinalState(job.state);

/** The platform values a late result until this many times the objective, which is `stretch` times the critical path plus `objectiveMilliseconds`. */
export const usefulTimeFactor = 3;

const createStep = (job: JobRow, occurrence: number, index: number): StepRow => {
	const declaration = job.declaration.steps[index]!;
	const step: StepRow = {
		job, occurrence, index, declaration, tasks: [], remaining: declaration.taskCount, waiting: declaration.taskCount,
		tickets: new Map(), disallowedWorkers: new Set(), adviceInFlight: false,
	};
	for (let task = 0; task < declaration.taskCount; task += 1) {
		step.tasks.push({
			name: formatTaskName({
				job: job.declaration.id, occurrence, step: index, index: task,
			}),
			step, index: task, done: false, runs: new Map(), lastRun: 0, failedRuns: [], failedWorkers: [],
			crashedRuns: [], suspectedRuns: new Set(), checkpoint: '', notBefore: 0, crashDelayUntil: 0,
		});
	}

	return step;
};

/** Latest end of the steps that the step depends on, by their indices; 0 if there are none. The list may be too long for a call with an argument for each. */
export const findLatestEnd = ({after}: StepDeclaration, ends: readonly number[]): number => {
	let latest = 0;
	for (const index of after) {
		latest = Math.max(latest, ends[index] ?? 0);
	}

	return latest;
};

/** Duration in milliseconds of the longest chain of dependent steps, by the declared estimates. */
export const estimateCriticalPath = (declaration: JobDeclaration): number => {
	const finishTimes: number[] = [];
	let longest = 0;
	for (const step of declaration.steps) {
		const finishTime = findLatestEnd(step, finishTimes) + step.estimateMilliseconds;
		finishTimes.push(finishTime);
		longest = Math.max(longest, finishTime);
	}

	return longest;
};

/** Time in milliseconds from the submission to the latest end that meets the objective. */
export const computeAllowedMilliseconds = (declaration: JobDeclaration, policy: QueuePolicy | undefined): number =>
	((policy?.stretch ?? 1) * estimateCriticalPath(declaration)) + (policy?.objectiveMilliseconds ?? 0);

export type JobTable = ReturnType<typeof createJobTable>;

/** `maximumOpenRows`: most steps and tasks in the open occurrences of a recurring job. */
export const createJobTable = (maximumOpenRows = largestJobRows) => {
	const jobs = new Map<string, JobRow>();
	/** Jobs with changes that are not yet persisted. */
	const changedJobs = new Set<JobRow>();

	const markChanged = (job: JobRow): void => {
		changedJobs.add(job);
	};

	const openOccurrence = (job: JobRow, occurrence: number): StepRow[] => {
		const steps = job.declaration.steps.map((_, index) => createStep(job, occurrence, index));
		job.occurrences.set(occurrence, steps);
		return steps;
	};

	const isNextOccurrenceDue = ({declaration: {repetitions, firstDueAt, intervalMilliseconds}, nextOccurrence}: JobRow, wallNow: number): boolean =>
		nextOccurrence < repetitions && firstDueAt + (nextOccurrence * intervalMilliseconds) <= wallNow;

	const occurrenceCount = (job: JobRow): number => Math.max(1, job.declaration.repetitions);

	const finishJobIfComplete = (job: JobRow): void => {
		if (isActive(job) && job.finishedOccurrences >= occurrenceCount(job)) {
			job.state = JobState.Completed;
		}
	};

	const finishOccurrenceIfComplete = (job: JobRow, occurrence: number): void => {
		const steps = job.occurrences.get(occurrence);
		if (steps?.every(step => step.remaining === 0)) {
			job.occurrences.delete(occurrence);
			job.finishedOccurrences += 1;
			finishJobIfComplete(job);
		}
	};

	const markTaskDone = (task: TaskRow): void => {
		if (task.done || task.step.declaration.longRunning) {
			return;
		}

		task.done = true;
		task.step.remaining -= 1;
		if (task.runs.size === 0) {
			task.step.waiting -= 1;
		}

		markChanged(task.step.job);
		finishOccurrenceIfComplete(task.step.job, task.step.occurrence);
	};

	const restoreProgress = (job: JobRow, progress: JobProgress): void => {
		job.begun = progress.begun;
		job.nextOccurrence = Math.max(job.nextOccurrence, progress.nextOccurrence);
		for (const occurrence of progress.openOccurrences) {
			const steps = job.occurrences.get(occurrence.occurrence) ?? openOccurrence(job, occurrence.occurrence);
			for (const [index, done] of occurrence.done.entries()) {
				for (const task of done) {
					const row = steps[index]?.tasks[task];
					if (row && !row.done) {
						row.done = true;
						row.step.remaining -= 1;
						row.step.waiting -= 1;
					}
				}
			}
		}

		for (const [name, failures] of Object.entries(progress.failures)) {
			const task = findTask(name);
			if (task) {
				task.failedRuns.push(...failures);
			}
		}

		for (const [name, crashes] of Object.entries(progress.crashes ?? {})) {
			findTask(name)?.crashedRuns.push(...crashes);
		}

		for (const [name, checkpoint] of Object.entries(progress.checkpoints)) {
			const task = findTask(name);
			if (task) {
				task.checkpoint = checkpoint;
			}
		}

		job.finishedOccurrences = progress.finishedOccurrences;
		finishJobIfComplete(job);
	};

	const findTask = (name: string): TaskRow | undefined => {
		const [id, occurrence, step, index] = name.split('.');
		return jobs.get(id ?? '')?.occurrences.get(Number(occurrence))?.[Number(step)]?.tasks[Number(index)];
	};

	return {
		jobs,
		changedJobs,
		markChanged,
		markTaskDone,
		findTask,
		add(options: {
			readonly declaration: JobDeclaration;
			readonly policy: QueuePolicy | undefined;
			readonly progress: JobProgress | undefined;
			readonly now: number;
			readonly wallNow: number;
		}): JobRow {
			const {declaration, policy, progress, now, wallNow} = options;
			const existing = jobs.get(declaration.id);
			if (existing) {
				return existing;
			}

			// Clock skew between instances could make the age negative.
			const age = Math.max(0, wallNow - declaration.submittedAt);
			const criticalPathMilliseconds = estimateCriticalPath(declaration);
			const allowedMilliseconds = computeAllowedMilliseconds(declaration, policy);
			const job: JobRow = {
				declaration, occurrences: new Map(), nextOccurrence: 0, finishedOccurrences: 0, state: JobState.Queued, begun: false,
				criticalPathMilliseconds, submittedAt: now - age, deadline: now - age + allowedMilliseconds, usefulUntil: now - age + (usefulTimeFactor * allowedMilliseconds),
			};
			jobs.set(declaration.id, job);
			if (progress) {
				restoreProgress(job, progress);
			}

			if (declaration.repetitions === 0 && job.nextOccurrence === 0) {
				job.nextOccurrence = 1;
				openOccurrence(job, 0);
			}

			return job;
		},
		/** Creates the tasks of occurrences of recurring jobs that are due, the earliest first; those of a backlog as earlier ones start and end. */
		openDueOccurrences(wallNow: number): void {
			for (const job of jobs.values()) {
				if (isActive(job) && isNextOccurrenceDue(job, wallNow)) {
					for (let openable = countOpenableOccurrences(job, maximumOpenRows); openable > 0 && isNextOccurrenceDue(job, wallNow); openable -= 1) {
						openOccurrence(job, job.nextOccurrence);
						job.nextOccurrence += 1;
						markChanged(job);
					}
				}
			}
		},
		remove(job: JobRow): void {
			jobs.delete(job.declaration.id);
			changedJobs.delete(job);
		},
	};
};

/** True if all tasks of the steps that this one depends on are done. */
export const isStepReady = (step: StepRow): boolean => {
	const steps = step.job.occurrences.get(step.occurrence);
	return steps !== undefined && step.declaration.after.every(index => steps[index]?.remaining === 0);
};

/** 0 if the job can still meet its objective, 1 if a late result is still of use, 2 otherwise. */
export const rankLateness = (job: JobRow, now: number): number => {
	if (now + job.criticalPathMilliseconds <= job.deadline) {
		return 0;
	}

	return now + job.criticalPathMilliseconds <= job.usefulUntil ? 1 : 2;
};
