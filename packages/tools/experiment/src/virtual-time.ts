/**
 * Virtual time for several simulated processes in one real process. A timer belongs to the simulated
 * process that set it: timers of a killed process never fire, and timers of a paused
 * process fire when it resumes. All promises settle between two events.
 */
import {AsyncLocalStorage} from 'node:async_hooks';
import TinyQueue from 'tinyqueue';

type TimerEvent = {readonly at: number; readonly order: number; run: (() => void) | undefined};

export enum ProcessState {
	Running = 'running',
	Paused = 'frozen',
	Killed = 'killed',
}

export type SimulatedProcess = {
	readonly name: string;
	state: ProcessState;
	/** Callbacks that became due while the process was paused. */
	readonly backlog: Array<() => void>;
	/** Error of the wall clock of this process. */
	wallClockOffsetMilliseconds: number;
};

export type VirtualTime = ReturnType<typeof createVirtualTime>;

export const createVirtualTime = () => {
	const queue = new TinyQueue<TimerEvent>([], (left, right) => left.at - right.at || left.order - right.order);
	const processContext = new AsyncLocalStorage<SimulatedProcess | undefined>();
	const realTimers = {
		setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout,
		setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval, setImmediate: globalThis.setImmediate,
	};
	let now = 0;
	let order = 0;

	const scheduleAt = (time: number, run: () => void): TimerEvent => {
		order += 1;
		const event: TimerEvent = {at: Math.max(now, time), order, run};
		queue.push(event);
		return event;
	};

	/** Runs the callback in the context of a process: never if it was killed, and after it resumes if it is paused. */
	const runInProcess = (process: SimulatedProcess | undefined, run: () => void): void => {
		switch (process?.state) {
			case undefined:
			case ProcessState.Running: {
				processContext.run(process, run);
				break;
			}

			case ProcessState.Paused: {
				process?.backlog.push(() => {
					runInProcess(process, run);
				});
				break;
			}

			case ProcessState.Killed: {
				break;
			}
		}
	};

	const setTimer = (callback: (...parameters: unknown[]) => void, delay = 0, ...parameters: unknown[]): TimerEvent => {
		const process = processContext.getStore();
		return scheduleAt(now + Math.max(1, delay), () => {
			runInProcess(process, () => {
				callback(...parameters);
			});
		});
	};

	const setIntervalTimer = (callback: () => void, delay = 0): TimerEvent => {
		const process = processContext.getStore();
		const handle = scheduleAt(now + Math.max(1, delay), () => undefined);
		let isTickPending = false;
		const scheduleTick = (): void => {
			scheduleAt(now + Math.max(1, delay), () => {
				if (handle.run === undefined || process?.state === ProcessState.Killed) {
					return;
				}

				// A resumed process gets one tick instead of all ticks that it missed, as with real intervals.
				if (!isTickPending) {
					isTickPending = true;
					runInProcess(process, () => {
						isTickPending = false;
						if (handle.run !== undefined) {
							callback();
						}
					});
				}

				scheduleTick();
			});
		};

		scheduleTick();
		return handle;
	};

	const clearTimer = (handle: TimerEvent | undefined): void => {
		if (handle) {
			handle.run = undefined;
		}
	};

	const settlePromises = async (): Promise<void> => {
		await new Promise<void>(resolve => {
			realTimers.setImmediate(resolve);
		});
	};

	return {
		now: () => now,
		scheduleAt,
		scheduleAfter: (delay: number, run: () => void): TimerEvent => scheduleAt(now + delay, run),
		runInProcess,
		getCurrentProcess: () => processContext.getStore(),
		createProcess: (name: string): SimulatedProcess => ({
			name, state: ProcessState.Running, backlog: [], wallClockOffsetMilliseconds: 0,
		}),
		resume(process: SimulatedProcess): void {
			process.state = ProcessState.Running;
			for (const run of process.backlog.splice(0)) {
				run();
			}
		},
		/** Replaces the global timers while the simulation runs. */
		async runWithVirtualTimers(simulation: () => Promise<void>): Promise<void> {
			Object.assign(globalThis, {
				setTimeout: setTimer, clearTimeout: clearTimer, setInterval: setIntervalTimer, clearInterval: clearTimer,
			});
			try {
				await simulation();
			} finally {
				Object.assign(globalThis, realTimers);
			}
		},
		async runUntil(end: number): Promise<void> {
			await settlePromises();
			for (let event = queue.peek(); event !== undefined && event.at <= end; event = queue.peek()) {
				queue.pop();
				now = event.at;
				if (event.run !== undefined) {
					event.run();
					// eslint-disable-next-line no-await-in-loop -- The effects of an event precede the next event.
					await settlePromises();
				}
			}

			now = end;
		},
	};
};
