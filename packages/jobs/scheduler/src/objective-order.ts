/**
 * Orders the jobs of one workspace so that the most of them meet their objective
 * (Moore, "An n job, one machine sequencing algorithm for minimizing the number of
 * late jobs", 1968, in the form of Hodgson). The machine of that algorithm is the
 * workspace's share of the pool.
 */
import type {DurationEstimator} from './durations.js';
import {findLatestEnd} from './jobs.js';
import type {StepRow} from './model.js';
import type {ReadyJob} from './ready-work.js';
import {getTaskRequirement} from './ready-work.js';

/** Running tasks are on average halfway through; to look at each run would cost more than it tells. */
const remainingShareOfRun = 0.5;

/** Remaining work of a job. */
type RemainingWork = {
	readonly entry: ReadyJob;
	/** Time that the job needs at the workspace's share of the capacity. */
	readonly milliseconds: number;
};

const estimateStep = (step: StepRow, durations: DurationEstimator): number => durations.estimateTask(step.tasks[0]!);

const estimateRemaining = (entry: ReadyJob, context: {readonly cpuMillis: number; readonly durations: DurationEstimator}): RemainingWork => {
	let work = 0;
	let longestPath = 0;
	for (const steps of entry.job.occurrences.values()) {
		const ends: number[] = [];
		for (const step of steps) {
			const duration = step.remaining > 0 ? estimateStep(step, context.durations) : 0;
			const running = step.remaining - step.waiting;
			work += (step.waiting + (running * remainingShareOfRun)) * getTaskRequirement(step).cpuMillis * duration;
			const end = findLatestEnd(step.declaration, ends) + (step.waiting > 0 ? duration : duration * remainingShareOfRun);
			ends.push(end);
			longestPath = Math.max(longestPath, end);
		}
	}

	return {entry, milliseconds: Math.max(longestPath, work / Math.max(1, context.cpuMillis))};
};

const byDeadline = (left: RemainingWork, right: RemainingWork): number => left.entry.job.deadline - right.entry.job.deadline;
const byRemainingWork = (left: RemainingWork, right: RemainingWork): number => left.milliseconds - right.milliseconds || byDeadline(left, right);

/** Index of the first element that is larger, in a list in ascending order. */
const findInsertionIndex = (list: readonly RemainingWork[], milliseconds: number): number => {
	let low = 0;
	let high = list.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (list[middle]!.milliseconds > milliseconds) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return low;
};

/** The largest set of jobs that end in time one after the other, as found by Moore and Hodgson. */
const selectOnTime = (list: readonly RemainingWork[], now: number): Set<RemainingWork> => {
	const selected: RemainingWork[] = [];
	let end = now;
	for (const work of list.toSorted(byDeadline)) {
		selected.splice(findInsertionIndex(selected, work.milliseconds), 0, work);
		end += work.milliseconds;
		if (end > work.entry.job.deadline) {
			end -= selected.pop()!.milliseconds;
		}
	}

	return new Set(selected);
};

/** First the jobs that can meet their objective, by deadline; then those whose late result is still of use, by least remaining work; then the rest, by deadline. */
export const orderByObjective = (jobs: readonly ReadyJob[], context: {
	/** The workspace's share of the pool, in thousandths of a core. */
	readonly cpuMillis: number;
	readonly durations: DurationEstimator;
	readonly now: number;
}): ReadyJob[] => {
	if (jobs.length <= 1) {
		return [...jobs];
	}

	const list = jobs.map(entry => estimateRemaining(entry, context));
	const onTime = selectOnTime(list, context.now);
	const isOfUse = ({entry, milliseconds}: RemainingWork): boolean => context.now + milliseconds <= entry.job.usefulUntil;
	const late = list.filter(work => !onTime.has(work));
	return [
		...list.filter(work => onTime.has(work)).toSorted(byDeadline),
		...late.filter(work => isOfUse(work)).toSorted(byRemainingWork),
		...late.filter(work => !isOfUse(work)).toSorted(byDeadline),
	].map(({entry}) => entry);
};
