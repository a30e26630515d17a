import test from 'ava';
import {
	AdmissionPolicy, computeCapacity, defaultScenario, simulate,
} from '../src/index.js';

// Guards against figures that the seed does not reproduce.
test('the same seed gives the same counts', t => {
	const scenario = {...defaultScenario, ticks: 3000, load: 2};
	t.deepEqual(simulate(scenario), simulate(scenario));
});

// Guards against admission control with no more goodput under overload than an unlimited queue.
test('under overload the bounded queue has more than three times the goodput of the unbounded queue', t => {
	const scenario = {...defaultScenario, ticks: 10_000, load: 5};
	const bounded = simulate(scenario).succeeded;
	const unbounded = simulate({...scenario, admission: AdmissionPolicy.Unbounded}).succeeded;
	t.true(bounded > 3 * unbounded, `bounded ${bounded}, unbounded ${unbounded}`);
});

// Guards against slots wasted on requests past their deadline, and against goodput that does not follow the teams' shares.
test('under overload the goodput is above 90 % of the capacity and follows the shares', t => {
	const scenario = {...defaultScenario, ticks: 10_000, load: 5};
	const {succeeded, succeededByTeam} = simulate(scenario);
	t.true(succeeded / computeCapacity(scenario) > 0.9, `goodput ${succeeded}`);
	for (const [team, share] of Object.entries(scenario.shares)) {
		t.true(Math.abs(((succeededByTeam.get(team) ?? 0) / succeeded) - (share / 8)) < 0.03, `${team}: ${succeededByTeam.get(team)} of ${succeeded}`);
	}
});

// Guards against a retry budget that lets retries multiply the load when an availability zone fails.
test('when a zone fails, there are at most 1.12 attempts per request', t => {
	const {attempts, requests} = simulate({
		...defaultScenario, ticks: 10_000, load: 0.6, zoneFailsAtTick: 2000,
	});
	t.true(attempts / requests <= 1.12, `${attempts} attempts for ${requests} requests`);
});
