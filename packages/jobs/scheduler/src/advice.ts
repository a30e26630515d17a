/** Tickets of the advice service, which decides for some queues which workers may run a step. */
import type {StepRow, WorkerRow} from './model.js';
import {getReservedResources, hasCapacityFor} from './workers.js';

/** Limits the duration of a request: the advice service needs time for each worker. */
const maximumWorkersPerAdviceCall = 12;
/** A ticket is not used this close to its expiry, since the start request has to reach the worker first. */
const ticketMarginMilliseconds = 300;

export type AdviceOrder = {readonly type: 'advise'; readonly step: StepRow; readonly workers: readonly string[]};

export const hasValidTicket = (step: StepRow, worker: WorkerRow, now: number): boolean => {
	const ticket = step.tickets.get(worker.registration.id);
	return ticket !== undefined && ticket.expiresAt - ticketMarginMilliseconds > now && ticket.incarnation === (worker.incarnation ?? 0);
};

export const getFreeCpuShare = (worker: WorkerRow): number => 1 - (worker.used.cpuMillis / Math.max(1, worker.registration.capacity.cpuMillis));

/** Asks about the emptiest workers with capacity that the service has not decided about. Marks the step, which has one request in flight at most. */
export const createAdviceOrders = (step: StepRow, usable: readonly WorkerRow[], now: number): AdviceOrder[] => {
	if (step.adviceInFlight) {
		return [];
	}

	const required = getReservedResources(step.tasks[0]!);
	const undecided = usable
		.filter(worker => !step.disallowedWorkers.has(worker.registration.id) && !hasValidTicket(step, worker, now) && hasCapacityFor(worker, required))
		.toSorted((left, right) => getFreeCpuShare(right) - getFreeCpuShare(left));
	if (undecided.length === 0) {
		return [];
	}

	step.adviceInFlight = true;
	return [{type: 'advise', step, workers: undecided.slice(0, maximumWorkersPerAdviceCall).map(worker => worker.registration.id)}];
};
