/** Model of one entry instance: the real queue, admission and routing code with modelled upstreams. */
import {
	checkAdmission, computeMaximumQueueingMilliseconds, createFairQueue, createRunTimeEstimator, getFlowName,
} from '@turmericbay/admission';
import {AttemptResult, computeBackoffMilliseconds, createRoutingTable} from '@turmericbay/routing';
import type {PeerLoad, RetryBudget, RoutingTable} from '@turmericbay/routing';
import type {AvailabilityZone, InstanceId, RandomSource} from '@turmericbay/types';
import type {EventQueue, UpstreamModel} from './upstream-model.js';

export const pool = 'pricing';

export enum AdmissionPolicy {
	/** Fair queue with admission control, as in the gateway. */
	Bounded = 'bounded',
	/** First in, first out, without a length limit; requests past their deadline are sent too. */
	Unbounded = 'unbounded',
}

export type ModelRequest = {
	readonly id: number;
	readonly team: string;
	readonly share: number;
	readonly arrivedAt: number;
	readonly deadline: number;
	readonly serviceTicks: number;
	attempts: number;
};

export type Counts = {
	requests: number;
	attempts: number;
	/** Requests with a response before their deadline. */
	succeeded: number;
	rejected: number;
	crossZoneAttempts: number;
	readonly succeededByTeam: Map<string, number>;
};

export type EntryModel = {
	readonly routing: RoutingTable;
	receive(request: ModelRequest): void;
	/** Sends queued requests while upstreams have free slots. */
	sendQueued(): void;
	readLoad(): PeerLoad;
};

const maximumAttempts = 3;
const maximumQueued = 200;
const noInstances: ReadonlySet<InstanceId> = new Set();

type Queue = {
	enqueue(request: ModelRequest): void;
	dequeue(): ModelRequest | undefined;
	remove(request: ModelRequest): void;
	length(): number;
	countAhead(request: ModelRequest): number;
};

const createBoundedQueue = (): Queue => {
	const queue = createFairQueue<ModelRequest>({tryAcquire: () => true});
	const identify = (request: ModelRequest): string => `${request.id}/${request.attempts}`;
	return {
		enqueue(request) {
			const {team, share} = request;
			queue.enqueue({
				id: identify(request), job: request, queue: pool, team, share, urgent: false,
			});
		},
		dequeue: () => queue.dequeue()?.job,
		remove(request) {
			queue.remove({id: identify(request)});
		},
		length: () => queue.length(),
		countAhead: ({team, share}) => queue.estimateEntriesAhead({flow: getFlowName({team, queue: pool}), share, urgent: false}),
	};
};

const createUnboundedQueue = (): Queue => {
	const waiting: ModelRequest[] = [];
	let head = 0;
	return {
		enqueue(request) {
			waiting.push(request);
		},
		dequeue: () => head < waiting.length ? waiting[head++] : undefined,
		remove: () => undefined,
		length: () => waiting.length - head,
		countAhead: () => waiting.length - head,
	};
};

export const createEntryModel = ({instance, zone, prefersOwnZone, admission, eventQueue, upstreams, random, budget, counts}: {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly prefersOwnZone: boolean;
	readonly admission: AdmissionPolicy;
	readonly eventQueue: EventQueue;
	readonly upstreams: ReadonlyMap<InstanceId, UpstreamModel>;
	readonly random: RandomSource;
	/** Undefined: failed attempts are retried without a budget. */
	readonly budget: RetryBudget | undefined;
	readonly counts: Counts;
}): EntryModel => {
	// No upstream is in the zone `nowhere`, so routing prefers none.
	const routing = createRoutingTable({zone: prefersOwnZone ? zone : 'nowhere', random});
	const queue = admission === AdmissionPolicy.Bounded ? createBoundedQueue() : createUnboundedQueue();
	const runTimes = createRunTimeEstimator();

	const admit = (request: ModelRequest): void => {
		const now = eventQueue.now();
		const freeSlots = routing.countFreeSlots({pool, now});
		const isRejected = admission === AdmissionPolicy.Bounded && checkAdmission({
			queueLength: queue.length(),
			maximumQueued,
			entriesAhead: queue.countAhead(request),
			concurrency: routing.countInFlight({pool}) + freeSlots,
			freeSlots,
			runTime: runTimes.estimate(),
			remainingMilliseconds: request.deadline - now,
		});
		if (isRejected) {
			counts.rejected++;
			return;
		}

		request.attempts++;
		queue.enqueue(request);
		if (admission === AdmissionPolicy.Bounded) {
			const {attempts} = request;
			const queueingTime = computeMaximumQueueingMilliseconds({remainingMilliseconds: request.deadline - now, runTime: runTimes.estimate()});
			eventQueue.schedule(Math.max(1, Math.round(queueingTime)), () => {
				if (request.attempts === attempts) {
					queue.remove(request);
				}
			});
		}
	};

	const retry = (request: ModelRequest): void => {
		const scope = {pool, flow: request.team};
		const wait = computeBackoffMilliseconds({
			attempt: request.attempts, baseMilliseconds: 25, maximumMilliseconds: 1000, random,
		});
		const isInTime = eventQueue.now() + wait < request.deadline;
		if (request.attempts < maximumAttempts && isInTime && (budget === undefined || budget.tryConsume(scope))) {
			eventQueue.schedule(Math.max(1, wait), () => {
				admit(request);
			});
		}
	};

	const send = (request: ModelRequest): void => {
		const sentAt = eventQueue.now();
		const upstream = routing.startRequest({pool, now: sentAt, excluded: noInstances});
		if (upstream === undefined) {
			return;
		}

		counts.attempts++;
		counts.crossZoneAttempts += upstream.record.zone === zone ? 0 : 1;
		upstreams.get(upstream.record.instance)!.submit({
			ticks: request.serviceTicks,
			onEnd(succeeded) {
				const now = eventQueue.now();
				routing.finishRequest({upstream, result: succeeded ? AttemptResult.Success : AttemptResult.Failure, now});
				if (!succeeded) {
					retry(request);
					return;
				}

				runTimes.record(now - sentAt);
				if (now <= request.deadline) {
					counts.succeeded++;
					counts.succeededByTeam.set(request.team, (counts.succeededByTeam.get(request.team) ?? 0) + 1);
				}
			},
		});
	};

	return {
		routing,
		receive(request) {
			counts.requests++;
			budget?.recordRequest({pool, flow: request.team});
			admit(request);
		},
		sendQueued() {
			while (queue.length() > 0 && routing.countFreeSlots({pool, now: eventQueue.now()}) > 0) {
				const request = queue.dequeue();
				if (request !== undefined) {
					send(request);
				}
			}
		},
		readLoad: () => ({
			instance,
			zone,
			pools: [{pool, queued: queue.length(), inFlight: routing.countInFlight({pool})}],
			upstreams: routing.listUpstreams().map(({record, ownInFlight}) => ({instance: record.instance, inFlight: ownInFlight})),
		}),
	};
};
