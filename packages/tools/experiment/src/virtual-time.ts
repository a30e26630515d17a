/**
 * Virtual time for whole processes inside one. Timers belong to the simulated
 * process that set them: those of a killed process never fire, those of a frozen
 * one fire when it goes on. Between two events all promises settle.
 */
import {AsyncLocalStorage} from 'node:async_hooks';
import TinyQueue from 'tinyqueue';

type Event = {readonly at: number; readonly order: number; run: (() => void) | undefined};

export enum ProcessState {
	Running = 'running',
	Frozen = 'frozen',
	Killed = 'killed',
}

export type SimulatedProcess = {
	readonly name: string;
	state: ProcessState;
	/** Callbacks that came while the process was frozen. */
	readonly backlog: Array<() => void>;
	/** Difference of the wall clock to true time, in milliseconds. */
	wallOffset: number;
};

export type VirtualTime = ReturnType<typeof createVirtualTime>;

export const createVirtualTime = () => {
	const queue = new TinyQueue<Event>([], (left, right) => left.at - right.at || left.order - right.order);
	const owners = new AsyncLocalStorage<SimulatedProcess | undefined>();
	const real = {
		setTimeout: globalThis.setTimeout, clearTimeout: globalThis.clearTimeout,
		setInterval: globalThis.setInterval, clearInterval: globalThis.clearInterval, setImmediate: globalThis.setImmediate,
	};
	let now = 0;
	let order = 0;

	const at = (time: number, run: () => void): Event => {
		order += 1;
		const event: Event = {at: Math.max(now, time), order, run};
		queue.push(event);
		return event;
	};

	/** Runs the callback in a process, unless that has ended; later if it is frozen. */
	const deliver = (owner: SimulatedProcess | undefined, run: () => void): void => {
		switch (owner?.state) {
			case undefined:
			case ProcessState.Running: {
				owners.run(owner, run);
				break;
			}

			case ProcessState.Frozen: {
				owner?.backlog.push(() => {
					deliver(owner, run);
				});
				break;
			}

			case ProcessState.Killed: {
				break;
			}
		}
	};

	const setTimer = (callback: (...parameters: unknown[]) => void, delay = 0, ...parameters: unknown[]): Event => {
		const owner = owners.getStore();
		return at(now + Math.max(1, delay), () => {
			deliver(owner, () => {
				callback(...parameters);
			});
		});
	};

	const setRepeating = (callback: () => void, delay = 0): Event => {
		const owner = owners.getStore();
		const handle = at(now + Math.max(1, delay), () => undefined);
		let isDue = false;
		const arm = (): void => {
			at(now + Math.max(1, delay), () => {
				if (handle.run === undefined || owner?.state === ProcessState.Killed) {
					return;
				}

				// A frozen process finds one tick due, not all that it has missed.
				if (!isDue) {
					isDue = true;
					deliver(owner, () => {
						isDue = false;
						if (handle.run !== undefined) {
							callback();
						}
					});
				}

				arm();
			});
		};

		arm();
		return handle;
	};

	const clearTimer = (handle: Event | undefined): void => {
		if (handle) {
			handle.run = undefined;
		}
	};

	const settle = async (): Promise<void> => {
		await new Promise<void>(resolve => {
			real.setImmediate(resolve);
		});
	};

	return {
		now: () => now,
		at,
		after: (delay: number, run: () => void): Event => at(now + delay, run),
		deliver,
		current: () => owners.getStore(),
		createProcess: (name: string): SimulatedProcess => ({
			name, state: ProcessState.Running, backlog: [], wallOffset: 0,
		}),
		thaw(owner: SimulatedProcess): void {
			owner.state = ProcessState.Running;
			for (const run of owner.backlog.splice(0)) {
				run();
			}
		},
		/** Replaces the global timers while `body` runs. */
		async install(body: () => Promise<void>): Promise<void> {
			Object.assign(globalThis, {
				setTimeout: setTimer, clearTimeout: clearTimer, setInterval: setRepeating, clearInterval: clearTimer,
			});
			try {
				await body();
			} finally {
				Object.assign(globalThis, real);
			}
		},
		async runUntil(end: number): Promise<void> {
			await settle();
			for (let event = queue.peek(); event !== undefined && event.at <= end; event = queue.peek()) {
				queue.pop();
				now = event.at;
				if (event.run !== undefined) {
					event.run();
					// eslint-disable-next-line no-await-in-loop -- What one event has caused comes before the next event.
					await settle();
				}
			}

			now = end;
		},
	};
};
