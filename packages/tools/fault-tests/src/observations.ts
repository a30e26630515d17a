/** What the upstreams saw, put together over the fleet. */
import type {Fleet, LoadRecord} from '@turmericbay/demo';
import {ResponseClass} from '@turmericbay/demo';
import type {RunRecord} from '@turmericbay/fakes';
import type {CaseContext} from './fault-case.js';

export const readAllRuns = async (fleet: Fleet): Promise<readonly RunRecord[]> => {
	const logs = await Promise.all(fleet.upstreams.map(async upstream => upstream.readStartedRuns()));
	return logs.flat();
};

export const countRunsByKey = (runs: readonly RunRecord[]): ReadonlyMap<string, number> => {
	const counts = new Map<string, number>();
	for (const {idempotencyKey} of runs) {
		counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
	}

	return counts;
};

/** The most runs at any moment. */
export const findMaximumRunning = (runs: readonly RunRecord[]): number => {
	// An end at the same moment as a start comes first: the unit was free by then.
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

/** The most runs with the label at any moment, over all upstreams that still run. */
export const readMaximumRunning = async (fleet: Fleet, label: string): Promise<number> => {
	const logs = await Promise.all(fleet.upstreams.filter(upstream => upstream.isRunning()).map(async ({control}) => control.readRunLog()));
	return findMaximumRunning(logs.flat().filter(run => run.label === label));
};

/** Guarantee 7: no key ran twice. */
export const checkAtMostOnce = async (context: CaseContext, keys: readonly string[]): Promise<void> => {
	const counts = countRunsByKey(await readAllRuns(context.fleet));
	const doubles = keys.filter(key => (counts.get(key) ?? 0) > 1);
	const once = keys.filter(key => counts.get(key) === 1);
	context.check('no key ran twice', doubles.length === 0, `${keys.length} keys: ${once.length} ran once, ${doubles.length} twice or more`);
};

/** Guarantee 6: no request refused with `not-run` ran. */
export const checkRefusals = async (context: CaseContext, records: readonly LoadRecord[]): Promise<void> => {
	const counts = countRunsByKey(await readAllRuns(context.fleet));
	const refused = records.filter(({response: answer}) => answer.type === ResponseClass.NotRun);
	const untrue = refused.filter(({idempotencyKey}) => (counts.get(idempotencyKey) ?? 0) > 0);
	context.check('every not-run is true', untrue.length === 0, `${refused.length} refusals, ${untrue.length} untrue`);
};

/** Guarantee 5: no answer was another request's. */
export const checkOwnAnswers = (context: CaseContext, records: readonly LoadRecord[]): void => {
	const foreign = records.filter(({response: answer}) => answer.type === ResponseClass.Mismatched);
	const answered = records.filter(({response: answer}) => answer.type === ResponseClass.Answered);
	context.check('no foreign answer', foreign.length === 0 && answered.length > 0, `${answered.length} answered, ${foreign.length} foreign`);
};
