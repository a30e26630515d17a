/** Fails jobs that cannot be done. */
import type {JobFailureCause, SchedulerEvent} from './events.js';
import type {JobTable} from './jobs.js';
import {isActive} from './jobs.js';
import type {TaskRow} from './model.js';
import {JobState} from './model.js';

export type FailJob = ReturnType<typeof createFailJob>;

export const createFailJob = (options: {readonly jobs: JobTable; readonly emit: (event: SchedulerEvent) => void}) => {
	const {jobs, emit} = options;
	/** Fails the job of the task; does nothing if the job has ended. */
	return (failure: {readonly task: TaskRow; readonly attempts: number; readonly cause: JobFailureCause}): void => {
		const {task, attempts, cause} = failure;
		const {job} = task.step;
		if (isActive(job)) {
			job.state = JobState.Failed;
			jobs.markChanged(job);
			emit({
				type: 'job-failed', job: job.declaration.id, task: task.name, attempts, cause,
			});
		}
	};
};
