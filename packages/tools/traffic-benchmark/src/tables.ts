/** Simulates the scenarios and formats their figures as Markdown tables. */
import {AdmissionPolicy} from './entry-model.js';
import type {Counts} from './entry-model.js';
import type {DecisionTime} from './decision-time.js';
import {computeCapacity, defaultScenario, simulate} from './simulation.js';
import type {Scenario} from './simulation.js';

export const seeds = [1, 2, 3];

const formatTable = (title: string, header: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
	const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
	return [title, '', line(header), line(header.map(() => '---')), ...rows.map(row => line(row)), ''].join('\n');
};

/** Minimum and maximum over the seeds. */
const formatRange = (scenario: Partial<Scenario>, value: (counts: Counts, scenario: Scenario) => number): string => {
	const values = seeds.map(seed => {
		const complete = {...defaultScenario, ...scenario, seed};
		return value(simulate(complete), complete);
	});
	return `${Math.min(...values).toFixed(2)} to ${Math.max(...values).toFixed(2)}`;
};

const computeGoodput = (counts: Counts, scenario: Scenario): number => counts.succeeded / computeCapacity(scenario);

export const createOverloadTable = (): string => formatTable(
	'Goodput (answers within 1 s, as a part of the capacity) against offered load',
	['offered load', 'bounded fair queue', 'unbounded first in, first out', 'refused at once by the bounded queue'],
	[0.5, 0.8, 1, 1.5, 2, 3, 5, 10].map(load => [
		`${load}`,
		formatRange({load}, computeGoodput),
		formatRange({load, admission: AdmissionPolicy.Unbounded}, computeGoodput),
		formatRange({load}, counts => counts.rejected / counts.requests),
	]),
);

const computeTeamFraction = (team: string) => (counts: Counts): number => (counts.succeededByTeam.get(team) ?? 0) / counts.succeeded;

export const createShareTable = (): string => formatTable(
	'Part of the goodput per team at 5 times the capacity, all teams offering the same',
	['team', 'share', 'bounded fair queue', 'unbounded first in, first out'],
	Object.entries(defaultScenario.shares).map(([team, share]) => [
		team,
		(share / 8).toFixed(3),
		formatRange({load: 5}, computeTeamFraction(team)),
		formatRange({load: 5, admission: AdmissionPolicy.Unbounded}, computeTeamFraction(team)),
	]),
);

export const createRetryTable = (): string => formatTable(
	'Loss of one of three zones after 5 of 20 s, the list still showing it',
	['offered load', 'attempts per request, budget', 'attempts per request, no budget', 'goodput, budget', 'goodput, no budget'],
	[0.3, 0.6, 0.9].map(load => {
		const zoneFailure = {load, zoneFailsAtTick: 5000};
		const computeAttemptsPerRequest = (counts: Counts): number => counts.attempts / (counts.requests - counts.rejected);
		return [
			`${load}`,
			formatRange(zoneFailure, computeAttemptsPerRequest),
			formatRange({...zoneFailure, hasRetryBudget: false}, computeAttemptsPerRequest),
			formatRange(zoneFailure, computeGoodput),
			formatRange({...zoneFailure, hasRetryBudget: false}, computeGoodput),
		];
	}),
);

export const createLocalityTable = (): string => formatTable(
	'Cross-zone hops per attempt',
	['offered load', 'callers per zone', 'with locality', 'without', 'goodput with', 'goodput without'],
	[0.3, 0.6, 0.9].flatMap(load => [[1 / 3, 1 / 3, 1 / 3], [0.6, 0.2, 0.2]].map(arrivalFractionByZone => {
		const computeCrossZoneFraction = (counts: Counts): number => counts.crossZoneAttempts / counts.attempts;
		// Without the zone preference about two thirds of the attempts go to other zones, since a third of the upstreams are in the own zone.
		const withoutZonePreference = {load, arrivalFractionByZone, prefersOwnZone: false};
		return [
			`${load}`,
			arrivalFractionByZone.map(part => part.toFixed(2)).join(', '),
			formatRange({load, arrivalFractionByZone}, computeCrossZoneFraction),
			formatRange(withoutZonePreference, computeCrossZoneFraction),
			formatRange({load, arrivalFractionByZone}, computeGoodput),
			formatRange(withoutZonePreference, computeGoodput),
		];
	})),
);

export const createDecisionTable = (times: readonly DecisionTime[]): string => formatTable(
	'Processor time per decision, microseconds',
	['decision', 'p50', 'p99', 'p99.9'],
	times.map(({name, p50Microseconds, p99Microseconds, p999Microseconds}) =>
		[name, ...[p50Microseconds, p99Microseconds, p999Microseconds].map(value => value.toFixed(1))]),
);
