import {EndReason} from '@turmericbay/scheduler';
import test from 'ava';
import {createAvailabilityCheck} from '../src/availability-check.js';

type Check = ReturnType<typeof createAvailabilityCheck>;

const createFixture = () => {
	const found: string[] = [];
	const check: Check = createAvailabilityCheck({
		getStep: () => ({
			taskCount: 3, resources: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0}, estimateMilliseconds: 0, after: [], checkpointing: false, gang: false, sameRack: false,
			requiredLabel: undefined, preferredRack: undefined, maximumPerWorker: 0, speculative: false, longRunning: true, image: '', targetMilliseconds: 0, fills: false, maximumAway: 1,
		}),
		isCancelled: () => false,
		report(at, what) {
			found.push(`${at} ${what}`);
		},
	});
	const name = (index: number): string => `job.0.0.${index}`;
	return {
		found,
		makeReady(index: number, run: number, at: number): void {
			check.recordWorkerEvent({
				type: 'started', task: name(index), run, checkpoint: '', fencingToken: 1,
			}, at);
			check.recordWorkerEvent({type: 'ready', task: name(index), run}, at);
		},
		order(index: number, run: number, options: {readonly at: number; readonly isDelayed?: boolean}): void {
			check.recordWorkerEvent({
				type: 'displaced', task: name(index), run, isDelayed: options.isDelayed ?? false,
			}, options.at);
		},
		fail(index: number, run: number, at: number): void {
			check.recordWorkerEvent({
				type: 'ended', task: name(index), run, reason: EndReason.Failed,
			}, at);
		},
	};
};

test('a second order breaks the limit until the first task is at work again', t => {
	const {found, makeReady, order} = createFixture();
	for (const index of [0, 1, 2]) {
		makeReady(index, 1, 0);
	}

	order(0, 1, {at: 10});
	order(1, 1, {at: 20});
	makeReady(0, 2, 30);
	makeReady(1, 2, 30);
	order(2, 1, {at: 40});
	t.deepEqual(found, ['20 job.0.0.1 was ended by an order while 1 others of its step were away']);
});

test('a task that failed counts as away after 4.5 s only, and a delayed order is not judged', t => {
	const {found, makeReady, order, fail} = createFixture();
	for (const index of [0, 1, 2]) {
		makeReady(index, 1, 0);
	}

	fail(0, 1, 100);
	order(1, 1, {at: 4000});
	makeReady(1, 2, 4100);
	order(2, 1, {at: 4500, isDelayed: true});
	makeReady(2, 2, 4600);
	order(1, 2, {at: 4700});
	t.deepEqual(found, ['4700 job.0.0.1 was ended by an order while 1 others of its step were away']);
});
