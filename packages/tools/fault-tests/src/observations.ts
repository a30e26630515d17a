/** Checks on the runs that all upstreams of the fleet recorded. */
import type {Fleet, LoadRecord} from '@turmericbay/demo';
import {ResponseClass} from '@turmericbay/demo';
import type {RunRecord} from '@turmericbay/fakes';
import type {CaseContext} from './fault-case.js';

export const readAllRuns = async (fleet: Fleet): Promise<readonly RunRecord[]> => {
	const runLogs = await Promise.all(fleet.upstreams.map(async upstream => upstream.readStartedRuns()));
	return runLogs.flat();
};

export const countRunsByKey = (runs: readonly RunRecord[]): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {idempotencyKey} of runs) {
		counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
	}

	return counts;
};

/** Maximum number of concurrent runs. */
export const findMaximumRunning = (runs: readonly RunRecord[]): number => {
	// An end sorts before a start at the same time, since the unit of the limit is free by then.
	const changes = runs
		.flatMap(({startedAt, endedAt}) => [{at: startedAt, change: 1}, {at: endedAt ?? Number.POSITIVE_INFINITY, change: -1}])
		.toSorted((a, b) => a.at - b.at || a.change - b.change);
	let running = 0;
	let maximum = 0;
	for (const {change} of changes) {
		running += change;
		maximum = Math.max(maximum, running);
	}

	return maximum;
};

/** Maximum number of concurrent runs with the label, on all upstreams that are still running. */
export const readMaximumRunning = async (fleet: Fleet, label: string): Promise<number> => {
	const runLogs = await Promise.all(fleet.upstreams.filter(upstream => upstream.isRunning()).map(async ({control}) => control.readRunLog()));
	return findMaximumRunning(runLogs.flat().filter(run => run.label === label));
};

/** Guarantee 7: no idempotency key ran twice. */
export const checkAtMostOnce = async (context: CaseContext, keys: readonly string[]): Promise<void> => {
	const counts = countRunsByKey(await readAllRuns(context.fleet));
	const repeated = keys.filter(key => (counts.get(key) ?? 0) > 1);
	const ranOnce = keys.filter(key => counts.get(key) === 1);
	context.check('no key ran twice', repeated.length === 0, `${keys.length} keys: ${ranOnce.length} ran once, ${repeated.length} twice or more`);
};

/** Guarantee 6: no request with a `not-run` response ran. */
export const checkNotRunResponses = async (context: CaseContext, records: readonly LoadRecord[]): Promise<void> => {
	const counts = countRunsByKey(await readAllRuns(context.fleet));
	const notRun = records.filter(({response}) => response.type === ResponseClass.NotRun);
	const falseNotRuns = notRun.filter(({idempotencyKey}) => (counts.get(idempotencyKey) ?? 0) > 0);
	context.check('every not-run is true', falseNotRuns.length === 0, `${notRun.length} not-run responses, ${falseNotRuns.length} of them false`);
};

/** Guarantee 5: no response belonged to another request. */
export const checkNoMismatchedResponses = (context: CaseContext, records: readonly LoadRecord[]): void => {
	const mismatched = records.filter(({response}) => response.type === ResponseClass.Mismatched);
	const answered = records.filter(({response}) => response.type === ResponseClass.Answered);
	context.check('no mismatched response', mismatched.length === 0 && answered.length > 0, `${answered.length} answered, ${mismatched.length} mismatched`);
};
