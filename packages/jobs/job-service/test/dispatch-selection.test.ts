import test from 'ava';
import fc from 'fast-check';
import type {Candidate} from '../src/dispatch-selection.js';
import {chooseDispatcher, computeRequiredCores, selectDispatchers} from '../src/dispatch-selection.js';

const candidates = fc.uniqueArray(fc.record({name: fc.string({minLength: 1}), cores: fc.double({min: 0.1, max: 4, noNaN: true})}), {minLength: 1, maxLength: 12, selector: ({name}) => name});

const sumCores = (instances: ReadonlyArray<{readonly cores: number}>): number => {
	let sum = 0;
	for (const {cores} of instances) {
		sum += cores;
	}

	return sum;
};

const isSmallestSelection = (instances: readonly Candidate[], required: number): boolean => {
	const selected = selectDispatchers(instances, required);
	const smallest = Math.min(...selected.map(({cores}) => cores));
	return selected.length > 0
		&& instances.every(instance => selected.includes(instance) || instance.cores <= smallest)
		&& (sumCores(selected) >= required || selected.length === instances.length)
		&& (selected.length === 1 || sumCores(selected.slice(0, -1)) < required);
};

// Guards against a small instance that gets the calls of a burst of 1,700 starts a second while a larger one of its zone is idle, and against more connections than needed.
test('the largest instances are selected, and no more than the load needs', t => {
	t.notThrows(() => {
		fc.assert(fc.property(candidates, fc.double({min: 0, max: 4000, noNaN: true}), (instances, callsPerSecond) => {
			const required = computeRequiredCores(callsPerSecond);
			return isSmallestSelection(instances, required);
		}), {seed: 8561});
	});
});

// Guards against all workers changing their dispatcher when one instance joins or leaves.
test('a lost instance moves only its own workers', t => {
	t.notThrows(() => {
		fc.assert(fc.property(candidates, fc.string(), (instances, worker) => {
			const chosen = chooseDispatcher(worker, instances)!;
			return instances.every(lost => lost === chosen || chooseDispatcher(worker, instances.filter(other => other !== lost)) === chosen);
		}), {seed: 8561});
	});
});

// Guards against equal shares for unequal instances, which exhaust the smaller one.
test('an instance gets workers in proportion to its cores', t => {
	const instances = [{name: 'small', cores: 0.3}, {name: 'large', cores: 1.2}];
	const large = Array.from({length: 2000}, (_, index) => chooseDispatcher(`w${index}`, instances)).filter(chosen => chosen?.name === 'large').length;
	t.true(large > 1500 && large < 1700, `${large} of 2000`);
});
