/**
 * Queue of one pool, ordered by start-time fair queueing over teams with their
 * shares as weights; urgent entries come first. Every entry costs one unit of
 * virtual service. Only the head of a flow has a start tag, so removing entries
 * further back costs nothing in fairness. Source: Goyal, Vin and Cheng,
 * "Start-time fair queueing", SIGCOMM 1996.
 */
import type {QueueName, TeamName} from '@turmericbay/types';
import {createFlowClass} from './flow-class.js';

export type QueuedEntry<Job> = {
	readonly id: string;
	readonly job: Job;
	readonly queue: QueueName;
	/** Undefined on open queues, which need no grant unit. */
	readonly team: TeamName | undefined;
	readonly share: number;
	readonly urgent: boolean;
};

export type FairQueue<Job> = {
	enqueue(entry: QueuedEntry<Job>): void;
	/** Takes the next entry whose team has a free grant unit; the unit is acquired. */
	dequeue(): QueuedEntry<Job> | undefined;
	/** Removes an entry that expired or was cancelled; false if it is not queued. */
	remove(options: {readonly id: string}): boolean;
	/** Makes the entries of a team eligible again after it got a free unit. */
	unblock(options: {readonly team: TeamName}): void;
	/** All entries, also those of teams without a free unit. */
	length(): number;
	/** Entries of teams that are not known to lack a unit. */
	eligibleLength(): number;
	queueLength(options: {readonly queue: QueueName}): number;
	teamLength(options: {readonly team: TeamName}): number;
	isBlocked(options: {readonly team: TeamName}): boolean;
	/** Entries that are served before a new one of this team if nothing else arrives. */
	entriesAhead(options: {readonly flow: string; readonly share: number; readonly urgent: boolean}): number;
	/**
	 * The same for judging a wait: later arrivals of teams with larger shares are
	 * served first too, so counting present entries alone promises small teams too much.
	 */
	expectedAhead(options: {readonly flow: string; readonly share: number; readonly urgent: boolean}): number;
};

const increase = (counts: Map<string, number>, name: string, change: number): void => {
	const count = (counts.get(name) ?? 0) + change;
	if (count === 0) {
		counts.delete(name);
	} else {
		counts.set(name, count);
	}
};

/** Name of the flow that an entry belongs to; open queues are flows of their own. */
export const flowName = (options: {readonly team: TeamName | undefined; readonly queue: QueueName}): string =>
	options.team === undefined ? `queue:${options.queue}` : `team:${options.team}`;

export const createFairQueue = <Job>(options: {
	/** Takes one grant unit of the team; false if none is free. */
	readonly acquire: (team: TeamName) => boolean;
}): FairQueue<Job> => {
	const entries = new Map<string, QueuedEntry<Job>>();
	const queueLengths = new Map<QueueName, number>();
	const teamLengths = new Map<TeamName, number>();
	const blocked = new Set<TeamName>();
	const urgentClass = createFlowClass<QueuedEntry<Job>>();
	const regularClass = createFlowClass<QueuedEntry<Job>>();
	let blockedLength = 0;

	const classOf = (urgent: boolean) => urgent ? urgentClass : regularClass;

	const count = (entry: QueuedEntry<Job>, change: number): void => {
		increase(queueLengths, entry.queue, change);
		if (entry.team !== undefined) {
			increase(teamLengths, entry.team, change);
			blockedLength += blocked.has(entry.team) ? change : 0;
		}
	};

	const block = (team: TeamName): void => {
		blocked.add(team);
		blockedLength += teamLengths.get(team) ?? 0;
		const flow = flowName({team, queue: ''});
		urgentClass.setBlocked(flow, true);
		regularClass.setBlocked(flow, true);
	};

	const takeFrom = (urgent: boolean): QueuedEntry<Job> | undefined => {
		const flows = classOf(urgent);
		for (let head = flows.peek(); head !== undefined; head = flows.peek()) {
			if (head.team === undefined || options.acquire(head.team)) {
				flows.take(flowName(head));
				entries.delete(head.id);
				count(head, -1);
				return head;
			}

			block(head.team);
		}

		return undefined;
	};

	const entriesAhead: FairQueue<Job>['entriesAhead'] = ({flow, share, urgent}) => urgent
		? urgentClass.entriesAhead({flow, share})
		: urgentClass.length() + regularClass.entriesAhead({flow, share});

	return {
		enqueue(entry) {
			entries.set(entry.id, entry);
			classOf(entry.urgent).add({
				flow: flowName(entry), share: entry.share, entry, blocked: entry.team !== undefined && blocked.has(entry.team),
			});
			count(entry, 1);
		},
		dequeue: () => takeFrom(true) ?? takeFrom(false),
		remove({id}) {
			const entry = entries.get(id);
			if (entry === undefined) {
				return false;
			}

			entries.delete(id);
			classOf(entry.urgent).remove(flowName(entry), entry);
			count(entry, -1);
			return true;
		},
		unblock({team}) {
			if (blocked.delete(team)) {
				blockedLength -= teamLengths.get(team) ?? 0;
				const flow = flowName({team, queue: ''});
				urgentClass.setBlocked(flow, false);
				regularClass.setBlocked(flow, false);
			}
		},
		length: () => entries.size,
		eligibleLength: () => entries.size - blockedLength,
		queueLength: ({queue}) => queueLengths.get(queue) ?? 0,
		teamLength: ({team}) => teamLengths.get(team) ?? 0,
		isBlocked: ({team}) => blocked.has(team),
		entriesAhead,
		expectedAhead(place) {
			const sustained = classOf(place.urgent).entriesAheadIfSustained(place);
			return Math.max(entriesAhead(place), Math.min(sustained, entries.size));
		},
	};
};
