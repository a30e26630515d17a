/** Runs the scenarios and lays their figures out as Markdown tables. */
import {Admission} from './entry-model.js';
import type {Counts} from './entry-model.js';
import type {DecisionTime} from './decision-time.js';
import {capacityOf, defaultScenario, simulate} from './simulation.js';
import type {Scenario} from './simulation.js';

export const seeds = [1, 2, 3];

const table = (title: string, head: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
	const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
	return [title, '', line(head), line(head.map(() => '---')), ...rows.map(row => line(row)), ''].join('\n');
};

/** Smallest and largest value over the seeds. */
const range = (scenario: Partial<Scenario>, value: (counts: Counts, scenario: Scenario) => number): string => {
	const values = seeds.map(seed => {
		const complete = {...defaultScenario, ...scenario, seed};
		return value(simulate(complete), complete);
	});
	return `${Math.min(...values).toFixed(2)} to ${Math.max(...values).toFixed(2)}`;
};

const goodput = (counts: Counts, scenario: Scenario): number => counts.good / capacityOf(scenario);

export const overloadTable = (): string => table(
	'Goodput (answers within 1 s, as a part of the capacity) against offered load',
	['offered load', 'bounded fair queue', 'unbounded first in, first out', 'refused at once by the bounded queue'],
	[0.5, 0.8, 1, 1.5, 2, 3, 5, 10].map(load => [
		`${load}`,
		range({load}, goodput),
		range({load, admission: Admission.Unbounded}, goodput),
		range({load}, counts => counts.refused / counts.requests),
	]),
);

const teamPart = (team: string) => (counts: Counts): number => (counts.goodByTeam.get(team) ?? 0) / counts.good;

export const shareTable = (): string => table(
	'Part of the goodput per team at 5 times the capacity, all teams offering the same',
	['team', 'share', 'bounded fair queue', 'unbounded first in, first out'],
	Object.entries(defaultScenario.shares).map(([team, share]) => [
		team,
		(share / 8).toFixed(3),
		range({load: 5}, teamPart(team)),
		range({load: 5, admission: Admission.Unbounded}, teamPart(team)),
	]),
);

export const retryTable = (): string => table(
	'Loss of one of three zones after 5 of 20 s, the list still showing it',
	['offered load', 'attempts per request, budget', 'attempts per request, no budget', 'goodput, budget', 'goodput, no budget'],
	[0.3, 0.6, 0.9].map(load => {
		const lost = {load, zoneLostAt: 5000};
		const perRequest = (counts: Counts): number => counts.attempts / (counts.requests - counts.refused);
		return [
			`${load}`,
			range(lost, perRequest),
			range({...lost, hasRetryBudget: false}, perRequest),
			range(lost, goodput),
			range({...lost, hasRetryBudget: false}, goodput),
		];
	}),
);

export const localityTable = (): string => table(
	'Cross-zone hops per attempt',
	['offered load', 'callers per zone', 'with locality', 'without', 'goodput with', 'goodput without'],
	[0.3, 0.6, 0.9].flatMap(load => [[1 / 3, 1 / 3, 1 / 3], [0.6, 0.2, 0.2]].map(callersPerZone => {
		const hops = (counts: Counts): number => counts.otherZone / counts.attempts;
		// Without locality, a request reaches another zone whenever the choice falls outside a third of the upstreams.
		const spread = {load, callersPerZone, isLocal: false};
		return [
			`${load}`,
			callersPerZone.map(part => part.toFixed(2)).join(', '),
			range({load, callersPerZone}, hops),
			range(spread, hops),
			range({load, callersPerZone}, goodput),
			range(spread, goodput),
		];
	})),
);

export const decisionTable = (times: readonly DecisionTime[]): string => table(
	'Processor time per decision, microseconds',
	['decision', 'p50', 'p99', 'p99.9'],
	times.map(({name, p50Microseconds, p99Microseconds, p999Microseconds}) =>
		[name, ...[p50Microseconds, p99Microseconds, p999Microseconds].map(value => value.toFixed(1))]),
);
