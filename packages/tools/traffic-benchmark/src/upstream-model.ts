/** Simulated clock, and upstreams that run a limited number of requests at a time and queue the rest. */

export type EventQueue = {
	now(): number;
	schedule(ticks: number, action: () => void): void;
	/** Runs the actions of the current tick, then advances the clock by one tick. */
	advance(): void;
};

export const createEventQueue = (): EventQueue => {
	const actionsByTick = new Map<number, Array<() => void>>();
	let tick = 0;
	return {
		now: () => tick,
		schedule(ticks, action) {
			const dueTick = tick + ticks;
			const actions = actionsByTick.get(dueTick) ?? [];
			actions.push(action);
			actionsByTick.set(dueTick, actions);
		},
		advance() {
			for (const action of actionsByTick.get(tick) ?? []) {
				action();
			}

			actionsByTick.delete(tick);
			tick++;
		},
	};
};

export type UpstreamModel = {
	submit(options: {readonly ticks: number; readonly onEnd: (succeeded: boolean) => void}): void;
	fail(): void;
};

export const createUpstreamModel = (eventQueue: EventQueue, slots: number): UpstreamModel => {
	const waiting: Array<{ticks: number; onEnd: (succeeded: boolean) => void}> = [];
	let running = 0;
	let hasFailed = false;

	const start = (ticks: number, onEnd: (succeeded: boolean) => void): void => {
		running++;
		eventQueue.schedule(ticks, () => {
			running--;
			onEnd(!hasFailed);
			const next = waiting.shift();
			if (next !== undefined) {
				start(next.ticks, next.onEnd);
			}
		});
	};

	return {
		submit({ticks, onEnd}) {
			if (hasFailed) {
				eventQueue.schedule(1, () => {
					onEnd(false);
				});
			} else if (running < slots) {
				start(ticks, onEnd);
			} else {
				waiting.push({ticks, onEnd});
			}
		},
		fail() {
			hasFailed = true;
		},
	};
};
