/** Workers that are slow for some time after their start, as their registration says. */
import type {WorkerRegistration, WorkerRow} from './model.js';

export const createSlowStarts = () => {
	/** When each registration was first seen; its remaining time counts from then. */
	const seenAt = new WeakMap<WorkerRegistration, number>();

	return {
		/** Updates `isStartingSlowly` of each worker. */
		refresh(workers: Iterable<WorkerRow>, now: number): void {
			for (const worker of workers) {
				const {registration} = worker;
				if (registration.slowStartMilliseconds <= 0) {
					worker.isStartingSlowly = false;
					continue;
				}

				const since = seenAt.get(registration) ?? now;
				seenAt.set(registration, since);
				worker.isStartingSlowly = now - since < registration.slowStartMilliseconds;
			}
		},
	};
};
