/** One entry instance: the real queue, admission and routing over modelled upstreams. */
import {
	checkAdmission, computeMaximumQueueingMilliseconds, createFairQueue, createRunTimeEstimator, getFlowName,
} from '@turmericbay/admission';
import {AttemptResult, computeBackoffMilliseconds, createRoutingTable} from '@turmericbay/routing';
import type {PeerLoad, RetryBudget, RoutingTable} from '@turmericbay/routing';
import type {AvailabilityZone, InstanceId, RandomSource} from '@turmericbay/types';
import type {Calendar, UpstreamModel} from './upstream-model.js';

export const pool = 'pricing';

export enum Admission {
	/** Fair queue with bounds, as the gateway uses it. */
	Bounded = 'bounded',
	/** First in, first out, without bounds; expired requests are sent too. */
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
	/** Answered within the deadline. */
	good: number;
	refused: number;
	otherZone: number;
	readonly goodByTeam: Map<string, number>;
};

export type EntryModel = {
	readonly routing: RoutingTable;
	arrive(request: ModelRequest): void;
	/** Starts what can start. */
	tick(): void;
	load(): PeerLoad;
};

const maximumAttempts = 3;
const maximumQueued = 200;
const nothing: ReadonlySet<InstanceId> = new Set();

type Queue = {
	push(request: ModelRequest): void;
	take(): ModelRequest | undefined;
	remove(request: ModelRequest): void;
	length(): number;
	ahead(request: ModelRequest): number;
};

const createBoundedQueue = (): Queue => {
	const queue = createFairQueue<ModelRequest>({tryAcquire: () => true});
	const identify = (request: ModelRequest): string => `${request.id}/${request.attempts}`;
	return {
		push(request) {
			const {team, share} = request;
			queue.enqueue({
				id: identify(request), job: request, queue: pool, team, share, urgent: false,
			});
		},
		take: () => queue.dequeue()?.job,
		remove(request) {
			queue.remove({id: identify(request)});
		},
		length: () => queue.length(),
		ahead: ({team, share}) => queue.estimateEntriesAhead({flow: getFlowName({team, queue: pool}), share, urgent: false}),
	};
};

const createUnboundedQueue = (): Queue => {
	const waiting: ModelRequest[] = [];
	let head = 0;
	return {
		push(request) {
			waiting.push(request);
		},
		take: () => head < waiting.length ? waiting[head++] : undefined,
		remove: () => undefined,
		length: () => waiting.length - head,
		ahead: () => waiting.length - head,
	};
};

export const createEntryModel = ({instance, zone, isLocal, admission, calendar, upstreams, random, budget, counts}: {
	readonly instance: InstanceId;
	readonly zone: AvailabilityZone;
	readonly isLocal: boolean;
	readonly admission: Admission;
	readonly calendar: Calendar;
	readonly upstreams: ReadonlyMap<InstanceId, UpstreamModel>;
	readonly random: RandomSource;
	/** Undefined: every failed attempt may be repeated. */
	readonly budget: RetryBudget | undefined;
	readonly counts: Counts;
}): EntryModel => {
	// A name that no upstream has: then every zone is as near as the others.
	const routing = createRoutingTable({zone: isLocal ? zone : 'nowhere', random});
	const queue = admission === Admission.Bounded ? createBoundedQueue() : createUnboundedQueue();
	const runTimes = createRunTimeEstimator();

	const join = (request: ModelRequest): void => {
		const now = calendar.now();
		const free = routing.countFreeSlots({pool, now});
		const refusal = admission === Admission.Bounded && checkAdmission({
			queueLength: queue.length(),
			maximumQueued,
			entriesAhead: queue.ahead(request),
			concurrency: routing.countInFlight({pool}) + free,
			freeSlots: free,
			runTime: runTimes.estimate(),
			remainingMilliseconds: request.deadline - now,
		});
		if (refusal) {
			counts.refused++;
			return;
		}

		request.attempts++;
		queue.push(request);
		if (admission === Admission.Bounded) {
			const {attempts} = request;
			const queueingTime = computeMaximumQueueingMilliseconds({remainingMilliseconds: request.deadline - now, runTime: runTimes.estimate()});
			calendar.after(Math.max(1, Math.round(queueingTime)), () => {
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
		const isInTime = calendar.now() + wait < request.deadline;
		if (request.attempts < maximumAttempts && isInTime && (budget === undefined || budget.tryConsume(scope))) {
			calendar.after(Math.max(1, wait), () => {
				join(request);
			});
		}
	};

	const send = (request: ModelRequest): void => {
		const sentAt = calendar.now();
		const upstream = routing.startRequest({pool, now: sentAt, excluded: nothing});
		if (upstream === undefined) {
			return;
		}

		counts.attempts++;
		counts.otherZone += upstream.record.zone === zone ? 0 : 1;
		upstreams.get(upstream.record.instance)!.submit({
			ticks: request.serviceTicks,
			done(isRun) {
				const now = calendar.now();
				routing.finishRequest({upstream, result: isRun ? AttemptResult.Success : AttemptResult.Failure, now});
				if (!isRun) {
					retry(request);
					return;
				}

				runTimes.record(now - sentAt);
				if (now <= request.deadline) {
					counts.good++;
					counts.goodByTeam.set(request.team, (counts.goodByTeam.get(request.team) ?? 0) + 1);
				}
			},
		});
	};

	return {
		routing,
		arrive(request) {
			counts.requests++;
			budget?.recordRequest({pool, flow: request.team});
			join(request);
		},
		tick() {
			while (queue.length() > 0 && routing.countFreeSlots({pool, now: calendar.now()}) > 0) {
				const request = queue.take();
				if (request !== undefined) {
					send(request);
				}
			}
		},
		load: () => ({
			instance,
			zone,
			pools: [{pool, queued: queue.length(), inFlight: routing.countInFlight({pool})}],
			upstreams: routing.listUpstreams().map(({record, ownInFlight}) => ({instance: record.instance, inFlight: ownInFlight})),
		}),
	};
};
