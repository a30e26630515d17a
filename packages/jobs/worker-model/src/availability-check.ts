/** Checks that no order ends a task of a long-running step while as many others of the step are away as it allows. */
import type {StepDeclaration} from '@turmericbay/scheduler';
import type {WorkerEvent} from './worker-types.js';

/** A task that is not at work for this time counts as away, whatever the cause (`noticeMs` of the platform). */
const noticeMilliseconds = 4500;

type ServiceTask = {
	/** Runs at work that no order is ending. */
	readonly readyRuns: Set<number>;
	notReadySince: number;
	/** An order has ended it, and it has not been at work since. */
	isDisplaced: boolean;
};

export type AvailabilityCheck = ReturnType<typeof createAvailabilityCheck>;

export const createAvailabilityCheck = (options: {
	readonly getStep: (task: string) => StepDeclaration | undefined;
	readonly isCancelled: (task: string) => boolean;
	readonly report: (at: number, what: string) => void;
}) => {
	const {getStep, isCancelled, report} = options;
	const tasks = new Map<string, ServiceTask>();

	const getTask = (name: string, now: number): ServiceTask => {
		const task = tasks.get(name) ?? {readyRuns: new Set(), notReadySince: now, isDisplaced: false};
		tasks.set(name, task);
		return task;
	};

	const isAway = ({readyRuns, notReadySince, isDisplaced}: ServiceTask, now: number): boolean =>
		readyRuns.size === 0 && (isDisplaced || now - notReadySince > noticeMilliseconds);

	const countOthersAway = (name: string, taskCount: number, now: number): number => {
		const prefix = name.slice(0, name.lastIndexOf('.') + 1);
		return Array.from({length: taskCount}, (_, index) => `${prefix}${index}`)
			.filter(other => other !== name && tasks.has(other) && isAway(tasks.get(other)!, now)).length;
	};

	const removeReadyRun = (task: ServiceTask, run: number, now: number): void => {
		if (task.readyRuns.delete(run) && task.readyRuns.size === 0) {
			task.notReadySince = now;
		}
	};

	return {
		recordWorkerEvent(event: WorkerEvent, now: number): void {
			const step = event.type === 'lease-expired' ? undefined : getStep(event.task);
			if (event.type === 'lease-expired' || !step?.longRunning || step.maximumAway === undefined) {
				return;
			}

			const task = getTask(event.task, now);
			switch (event.type) {
				case 'ready': {
					task.readyRuns.add(event.run);
					task.isDisplaced = false;
					break;
				}

				case 'displaced': {
					const isAtWork = task.readyRuns.has(event.run);
					removeReadyRun(task, event.run, now);
					if (task.readyRuns.size > 0) {
						break;
					}

					const othersAway = countOthersAway(event.task, step.taskCount, now);
					if (isAtWork && !event.isDelayed && othersAway + 1 > step.maximumAway && !isCancelled(event.task)) {
						report(now, `${event.task} was ended by an order while ${othersAway} others of its step were away`);
					}

					task.isDisplaced = true;
					break;
				}

				case 'ended': {
					removeReadyRun(task, event.run, now);
					break;
				}

				case 'started':
				case 'crashed':
				case 'acknowledged': {
					break;
				}
			}
		},
	};
};
