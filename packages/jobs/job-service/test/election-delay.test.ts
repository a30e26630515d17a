/** Guards against a small instance as the owner while larger ones are available: the owner does most of the work. */
import test from 'ava';
import fastCheck from 'fast-check';
import {chooseElectionDelay} from '../src/election-delay.js';

test('an instance with more than twice the cores tries first, whatever the random numbers are', t => {
	const draw = fastCheck.double({min: 0, max: 0.999, noNaN: true});
	fastCheck.assert(fastCheck.property(draw, draw, fastCheck.double({min: 0.1, max: 4, noNaN: true}), (small, large, cores) => {
		t.true(chooseElectionDelay({cores: cores * 2.1, random: () => large}) < chooseElectionDelay({cores, random: () => small}));
	}), {seed: 20_261_204});
});
