/**
 * Queue of one pool. Orders entries by start-time fair queueing, with teams as
 * flows and their shares as weights; urgent entries are served first. Every
 * entry has the same cost. Only the head of a flow has a start tag, so removing
 * an entry does not affect fairness. Source: Goyal, Vin and Cheng, "Start-time
 * fair queueing", SIGCOMM 1996.
 *
 * An entry needs a unit of its team's concurrency limit to be served. Teams
 * without a free unit are blocked, which means skipped, until `unblock`.
 */
import type {QueueName, TeamName} from '@turmericbay/types';
import {createPriorityClass} from './priority-class.js';

export type QueuedEntry<Job> = {
	readonly id: string;
	readonly job: Job;
	readonly queue: QueueName;
	/** Undefined on open queues, which have no team limit. */
	readonly team: TeamName | undefined;
	readonly share: number;
	readonly urgent: boolean;
};

export type FairQueue<Job> = {
	enqueue(entry: QueuedEntry<Job>): void;
	/** Removes the next entry whose team has a free unit of its limit, and acquires that unit. */
	dequeue(): QueuedEntry<Job> | undefined;
	/** Removes an entry that expired or was cancelled; false if it was not queued. */
	remove(options: {readonly id: string}): boolean;
	/** Makes the entries of a team eligible again; called when a unit of its limit becomes free. */
	unblock(options: {readonly team: TeamName}): void;
	/** Number of entries, those of blocked teams included. */
	length(): number;
	/** Number of entries without those of blocked teams. */
	eligibleLength(): number;
	queueLength(options: {readonly queue: QueueName}): number;
	teamLength(options: {readonly team: TeamName}): number;
	isBlocked(options: {readonly team: TeamName}): boolean;
	/** Entries that are served before a new one of this flow if nothing else arrives. */
	countEntriesAhead(options: {readonly flow: string; readonly share: number; readonly urgent: boolean}): number;
	/**
	 * Estimate for expected waits. Later arrivals of flows with larger shares are
	 * also served earlier, so `countEntriesAhead` underestimates the wait of flows
	 * with small shares.
	 */
	estimateEntriesAhead(options: {readonly flow: string; readonly share: number; readonly urgent: boolean}): number;
};

const adjustCount = (counts: Map<string, number>, name: string, change: number): void => {
	const count = (counts.get(name) ?? 0) + change;
	if (count === 0) {
		counts.delete(name);
	} else {
		counts.set(name, count);
	}
};

/** Each team is one flow, and so is each open queue. */
export const getFlowName = (options: {readonly team: TeamName | undefined; readonly queue: QueueName}): string =>
	options.team === undefined ? `queue:${options.queue}` : `team:${options.team}`;

export const createFairQueue = <Job>(options: {
	/** Acquires one unit of the team's limit; false if none is free. */
	readonly tryAcquire: (team: TeamName) => boolean;
}): FairQueue<Job> => {
	const entries = new Map<string, QueuedEntry<Job>>();
	const queueLengths = new Map<QueueName, number>();
	const teamLengths = new Map<TeamName, number>();
	const blocked = new Set<TeamName>();
	const urgentClass = createPriorityClass<QueuedEntry<Job>>();
	const regularClass = createPriorityClass<QueuedEntry<Job>>();
	let blockedLength = 0;

	const getClass = (urgent: boolean) => urgent ? urgentClass : regularClass;

	const updateCounts = (entry: QueuedEntry<Job>, change: number): void => {
		adjustCount(queueLengths, entry.queue, change);
		if (entry.team !== undefined) {
			adjustCount(teamLengths, entry.team, change);
			blockedLength += blocked.has(entry.team) ? change : 0;
		}
	};

	const block = (team: TeamName): void => {
		blocked.add(team);
		blockedLength += teamLengths.get(team) ?? 0;
		const flow = getFlowName({team, queue: ''});
		urgentClass.setBlocked(flow, true);
		regularClass.setBlocked(flow, true);
	};

	const dequeueFrom = (urgent: boolean): QueuedEntry<Job> | undefined => {
		const flows = getClass(urgent);
		for (let head = flows.peek(); head !== undefined; head = flows.peek()) {
			if (head.team === undefined || options.tryAcquire(head.team)) {
				flows.dequeue(getFlowName(head));
				entries.delete(head.id);
				updateCounts(head, -1);
				return head;
			}

			block(head.team);
		}

		return undefined;
	};

	const countEntriesAhead: FairQueue<Job>['countEntriesAhead'] = ({flow, share, urgent}) => urgent
		? urgentClass.countEntriesAhead({flow, share})
		: urgentClass.length() + regularClass.countEntriesAhead({flow, share});

	return {
		enqueue(entry) {
			entries.set(entry.id, entry);
			getClass(entry.urgent).add({
				flow: getFlowName(entry), share: entry.share, entry, blocked: entry.team !== undefined && blocked.has(entry.team),
			});
			updateCounts(entry, 1);
		},
		dequeue: () => dequeueFrom(true) ?? dequeueFrom(false),
		remove({id}) {
			const entry = entries.get(id);
			if (entry === undefined) {
				return false;
			}

			entries.delete(id);
			getClass(entry.urgent).remove(getFlowName(entry), entry);
			updateCounts(entry, -1);
			return true;
		},
		unblock({team}) {
			if (blocked.delete(team)) {
				blockedLength -= teamLengths.get(team) ?? 0;
				const flow = getFlowName({team, queue: ''});
				urgentClass.setBlocked(flow, false);
				regularClass.setBlocked(flow, false);
			}
		},
		length: () => entries.size,
		eligibleLength: () => entries.size - blockedLength,
		queueLength: ({queue}) => queueLengths.get(queue) ?? 0,
		teamLength: ({team}) => teamLengths.get(team) ?? 0,
		isBlocked: ({team}) => blocked.has(team),
		countEntriesAhead,
		estimateEntriesAhead(position) {
			const sustained = getClass(position.urgent).countEntriesAheadUnderSustainedLoad(position);
			return Math.max(countEntriesAhead(position), Math.min(sustained, entries.size));
		},
	};
};
