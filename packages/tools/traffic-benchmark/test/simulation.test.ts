import test from 'ava';
import {
	Admission, capacityOf, defaultScenario, simulate,
} from '../src/index.js';

// Guards against figures that cannot be repeated.
test('the same seed gives the same counts', t => {
	const scenario = {...defaultScenario, ticks: 3000, load: 2};
	t.deepEqual(simulate(scenario), simulate(scenario));
});

// Guards against admission that loses to a queue without bounds under overload.
test('under overload the bounded queue answers several times more in time', t => {
	const scenario = {...defaultScenario, ticks: 10_000, load: 5};
	const bounded = simulate(scenario).good;
	const unbounded = simulate({...scenario, admission: Admission.Unbounded}).good;
	t.true(bounded > 3 * unbounded, `${bounded} against ${unbounded}`);
});

// Guards against slots lost to late answers, and against shares that hold in the queue but not in the answers.
test('under overload nine tenths of the capacity are answered in time, by shares', t => {
	const scenario = {...defaultScenario, ticks: 10_000, load: 5};
	const {good, goodByTeam} = simulate(scenario);
	t.true(good / capacityOf(scenario) > 0.9, `${good} answers`);
	for (const [team, share] of Object.entries(scenario.shares)) {
		t.true(Math.abs(((goodByTeam.get(team) ?? 0) / good) - (share / 8)) < 0.03, `${team}: ${goodByTeam.get(team)} of ${good}`);
	}
});

// Guards against a budget that lets retries multiply the load when a zone is lost.
test('with a zone lost, retries stay within a tenth of the requests', t => {
	const {attempts, requests} = simulate({
		...defaultScenario, ticks: 10_000, load: 0.6, zoneLostAt: 2000,
	});
	t.true(attempts / requests <= 1.12, `${attempts} attempts for ${requests} requests`);
});
