/** A small instance that becomes the owner starts a quarter of what a large one does; the large ones have to be first. */
import test from 'ava';
import fastCheck from 'fast-check';
import {chooseElectionDelay} from '../src/election-delay.js';

test('an instance with twice the share of a core tries first, whatever is drawn', t => {
	const draw = fastCheck.double({min: 0, max: 0.999, noNaN: true});
	fastCheck.assert(fastCheck.property(draw, draw, fastCheck.double({min: 0.1, max: 4, noNaN: true}), (small, large, cores) => {
		t.true(chooseElectionDelay({cores: cores * 2.1, random: () => large}) < chooseElectionDelay({cores, random: () => small}));
	}), {seed: 20_261_204});
});
