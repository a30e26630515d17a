/** Upstreams that run a bounded number of requests at a time and queue the rest. */

export type Calendar = {
	now(): number;
	after(ticks: number, action: () => void): void;
	/** Runs everything that is due and moves on by one tick. */
	advance(): void;
};

export const createCalendar = (): Calendar => {
	const due = new Map<number, Array<() => void>>();
	let tick = 0;
	return {
		now: () => tick,
		after(ticks, action) {
			const at = tick + ticks;
			const actions = due.get(at) ?? [];
			actions.push(action);
			due.set(at, actions);
		},
		advance() {
			for (const action of due.get(tick) ?? []) {
				action();
			}

			due.delete(tick);
			tick++;
		},
	};
};

export type UpstreamModel = {
	submit(options: {readonly ticks: number; readonly done: (isRun: boolean) => void}): void;
	lose(): void;
};

export const createUpstreamModel = (calendar: Calendar, slots: number): UpstreamModel => {
	const waiting: Array<{ticks: number; done: (isRun: boolean) => void}> = [];
	let running = 0;
	let isLost = false;

	const start = (ticks: number, done: (isRun: boolean) => void): void => {
		running++;
		calendar.after(ticks, () => {
			running--;
			done(!isLost);
			const next = waiting.shift();
			if (next !== undefined) {
				start(next.ticks, next.done);
			}
		});
	};

	return {
		submit({ticks, done}) {
			if (isLost) {
				calendar.after(1, () => {
					done(false);
				});
			} else if (running < slots) {
				start(ticks, done);
			} else {
				waiting.push({ticks, done});
			}
		},
		lose() {
			isLost = true;
		},
	};
};
