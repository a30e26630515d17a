/** What the owner knows of a worker when it gives up the runs there. */
import type {WorkerKnowledge} from './events.js';
import type {WorkerRow} from './model.js';

const since = (at: number, now: number): number | undefined => Number.isFinite(at) ? Math.round(now - at) : undefined;

export const describeKnowledge = (worker: WorkerRow, now: number): WorkerKnowledge => ({
	worker: worker.registration.id, incarnation: worker.incarnation, runs: worker.runs.size,
	sinceContact: since(worker.lastContactAt, now), sinceLease: since(worker.leaseGrantedAt, now), unansweredCalls: worker.unansweredCalls,
});
