/**
 * Discrete-event simulation with a fake clock and a seeded random source, and
 * simulated processes that can be paused and killed. Events run one at a time;
 * promises settle in between.
 */
import {setImmediate as settle} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createManualClock} from '@turmericbay/types';
import type {ManualClock, RandomSource} from '@turmericbay/types';

type Event = {readonly at: number; readonly order: number; readonly action: () => void};

export type Simulation = {
	readonly clock: ManualClock;
	readonly random: RandomSource;
	after(milliseconds: number, action: () => void): void;
	/** Runs all events that are due within this time. */
	run(milliseconds: number): Promise<void>;
};

/** Binary heap, since the benchmark schedules tens of thousands of events. */
const createEventQueue = () => {
	const heap: Event[] = [];
	const isBefore = (left: Event, right: Event) => left.at < right.at || (left.at === right.at && left.order < right.order);
	const swap = (one: number, other: number) => {
		[heap[one], heap[other]] = [heap[other]!, heap[one]!];
	};

	const sink = () => {
		let index = 0;
		for (;;) {
			const left = (index * 2) + 1;
			const right = left + 1;
			let smallest = index;
			if (left < heap.length && isBefore(heap[left]!, heap[smallest]!)) {
				smallest = left;
			}

			if (right < heap.length && isBefore(heap[right]!, heap[smallest]!)) {
				smallest = right;
			}

			if (smallest === index) {
				return;
			}

			swap(index, smallest);
			index = smallest;
		}
	};

	return {
		push(event: Event) {
			let index = heap.push(event) - 1;
			while (index > 0) {
				const parent = Math.floor((index - 1) / 2);
				if (!isBefore(heap[index]!, heap[parent]!)) {
					return;
				}

				swap(index, parent);
				index = parent;
			}
		},
		peek: () => heap[0],
		pop() {
			swap(0, heap.length - 1);
			const event = heap.pop();
			sink();
			return event;
		},
	};
};

export const createSimulation = (seed: number): Simulation => {
	const clock = createManualClock();
	const generator = xoroshiro128plus(seed);
	const queue = createEventQueue();
	let order = 0;
	return {
		clock,
		random: () => uniformFloat64(generator),
		after(milliseconds, action) {
			order += 1;
			queue.push({at: clock.monotonicMilliseconds() + milliseconds, order, action});
		},
		async run(milliseconds) {
			const end = clock.monotonicMilliseconds() + milliseconds;
			for (let next = queue.peek(); next && next.at <= end; next = queue.peek()) {
				queue.pop();
				clock.advance(Math.max(0, next.at - clock.monotonicMilliseconds()));
				next.action();
				// eslint-disable-next-line no-await-in-loop -- each event has to settle before the next one
				await settle();
			}

			clock.advance(end - clock.monotonicMilliseconds());
			await settle();
		},
	};
};

export type SimulatedProcess = {
	/** Runs the action after a delay; deferred while the process is paused, dropped once it is killed. */
	after(milliseconds: number, action: () => void): void;
	repeat(milliseconds: number, action: () => void): void;
	pause(): void;
	resume(): void;
	kill(): void;
	isAlive(): boolean;
	isPaused(): boolean;
};

export const createProcess = (simulation: Simulation): SimulatedProcess => {
	let alive = true;
	let paused = false;
	let deferred: Array<() => void> = [];
	const whenRunning = (action: () => void) => () => {
		if (paused) {
			deferred.push(action);
		} else if (alive) {
			action();
		}
	};

	const process: SimulatedProcess = {
		after(milliseconds, action) {
			simulation.after(milliseconds, whenRunning(action));
		},
		repeat(milliseconds, action) {
			process.after(milliseconds, () => {
				action();
				process.repeat(milliseconds, action);
			});
		},
		pause() {
			paused = true;
		},
		resume() {
			paused = false;
			const actions = deferred;
			deferred = [];
			for (const action of actions) {
				simulation.after(0, whenRunning(action));
			}
		},
		kill() {
			alive = false;
			deferred = [];
		},
		isAlive: () => alive,
		isPaused: () => paused,
	};
	return process;
};
