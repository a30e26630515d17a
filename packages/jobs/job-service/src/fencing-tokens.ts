/** Fencing tokens for calls to workers, which reject tokens lower than the highest that they have seen. */
import type {Scheduler, WorkerRow} from '@turmericbay/scheduler';

/** Tokens of one epoch for one worker; later processes under its name share the last one. */
const tokensPerEpoch = 4096;

export type FencingTokens = {
	/** Grows with each owner and with each process of the worker: once the current process was called, it rejects delayed calls for its predecessors. */
	get(worker: WorkerRow): number;
	/** True if this owner has called the worker with a higher token since, so that a rejection does not prove that there is a newer owner. */
	isSuperseded(worker: WorkerRow, token: number): boolean;
};

export const createFencingTokens = (options: {readonly epoch: number; readonly scheduler: Scheduler}): FencingTokens => {
	const {epoch, scheduler} = options;
	const get = ({generation}: WorkerRow): number => (epoch * tokensPerEpoch) + Math.min(generation, tokensPerEpoch - 1);
	return {
		get,
		// The worker may have been removed and listed again.
		isSuperseded: (worker, token) => get(scheduler.workers.get(worker.registration.id) ?? worker) > token,
	};
};
