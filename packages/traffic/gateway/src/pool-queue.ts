/** Queue of one upstream pool: p-queue with the fair queue as its queue class. */
import PQueue from 'p-queue';
import {
	checkAdmission, computeMaximumQueueingMilliseconds, createFairQueue, createFairQueueClass, createRunTimeEstimator, getFlowName,
} from '@turmericbay/admission';
import type {FairQueueClass, FairQueueOptions, RunFunction} from '@turmericbay/admission';
import type {QueueDeclaration} from '@turmericbay/document';
import {ProblemCode} from '@turmericbay/types';
import type {
	GrantPort, Problem, QueueName, TeamName,
} from '@turmericbay/types';

export type QueueRequest = {
	readonly id: string;
	readonly queueName: QueueName;
	readonly queue: QueueDeclaration;
	readonly team: TeamName | undefined;
	readonly share: number;
	readonly remainingMilliseconds: number;
	readonly disconnectSignal: AbortSignal;
};

export type QueueResult<Value>
	= | {readonly type: 'ran'; readonly value: Value}
		| {readonly type: 'refused'; readonly problem: Problem}
		/** The caller disconnected while the request was queued. */
		| {readonly type: 'cancelled'};

export type PoolCapacity = {
	/** Requests in flight from this entry instance to the pool. */
	readonly inFlight: number;
	/** Further requests that the pool can take. */
	readonly free: number;
};

export type PoolQueue = {
	/** Queues the job and runs it; when it starts, one unit of the team's limit is acquired for it. */
	run<Value>(request: QueueRequest, job: () => Promise<Value>): Promise<QueueResult<Value>>;
	/** Adapts to the pool's current capacity and starts the requests that can start. */
	updateConcurrency(): void;
	/** Starts queued requests of a team after a unit of its limit became free. */
	unblock(team: TeamName): void;
	/** Refuses all queued requests. */
	refuseQueued(problem: Problem): void;
	countQueued(): number;
	countQueuedOfTeam(team: TeamName): number;
};

export const createPoolQueue = (options: {
	readonly grants: GrantPort;
	readonly getCapacity: () => PoolCapacity;
	readonly countRunning: (team: TeamName) => number;
	readonly now: () => number;
}): PoolQueue => {
	const {grants, getCapacity, countRunning, now} = options;
	const fairQueue = createFairQueue<RunFunction>({tryAcquire: team => grants.tryAcquire({team})});
	const queue = new PQueue<InstanceType<FairQueueClass>, FairQueueOptions>({queueClass: createFairQueueClass(fairQueue), concurrency: 1});
	const refusalCallbacks = new Set<(problem: Problem) => void>();
	const runTimes = createRunTimeEstimator();

	const updateConcurrency = (): void => {
		const {inFlight, free} = getCapacity();
		if (inFlight + free === 0) {
			queue.pause();
			return;
		}

		queue.concurrency = inFlight + free;
		queue.start();
	};

	const findRefusal = (request: QueueRequest): Problem | undefined => {
		const {inFlight, free} = getCapacity();
		const {team, share, queueName} = request;
		const {urgent, maximumQueued} = request.queue;
		return checkAdmission({
			queueLength: fairQueue.queueLength({queue: queueName}),
			maximumQueued,
			entriesAhead: fairQueue.estimateEntriesAhead({flow: getFlowName({team, queue: queueName}), share, urgent}),
			concurrency: inFlight + free,
			freeSlots: free,
			runTime: runTimes.estimate(),
			remainingMilliseconds: request.remainingMilliseconds,
			...(team !== undefined && fairQueue.isBlocked({team}) && {
				teamAtLimit: {running: countRunning(team), queued: fairQueue.teamLength({team})},
			}),
		});
	};

	const createExpiryProblem = ({team}: QueueRequest): Problem => team !== undefined && fairQueue.isBlocked({team})
		? {code: ProblemCode.TeamAtLimit, detail: 'Wait until running requests of the team have ended.', retryAfterSeconds: 1}
		: {code: ProblemCode.DeadlineExceeded, detail: 'Retry later, with backoff.', retryAfterSeconds: 1};

	const runMeasured = async <Value>(job: () => Promise<Value>): Promise<Value> => {
		const startedAt = now();
		const value = await job();
		runTimes.record(now() - startedAt);
		return value;
	};

	const enqueue = async <Value>(request: QueueRequest, job: () => Promise<Value>): Promise<QueueResult<Value>> => new Promise((resolve, reject) => {
		const removal = new AbortController();
		const stopWaiting = (): void => {
			clearTimeout(timer);
			refusalCallbacks.delete(refuse);
			request.disconnectSignal.removeEventListener('abort', onDisconnect);
		};

		const leaveQueue = (result: QueueResult<Value>): void => {
			stopWaiting();
			resolve(result);
			removal.abort();
		};

		const onDisconnect = (): void => {
			leaveQueue({type: 'cancelled'});
		};

		const refuse = (problem: Problem): void => {
			leaveQueue({type: 'refused', problem});
		};

		const timer = setTimeout(() => {
			refuse(createExpiryProblem(request));
		}, computeMaximumQueueingMilliseconds({remainingMilliseconds: request.remainingMilliseconds, runTime: runTimes.estimate()}));

		const start = async (): Promise<void> => {
			stopWaiting();
			resolve({type: 'ran', value: await runMeasured(job)});
		};

		refusalCallbacks.add(refuse);
		request.disconnectSignal.addEventListener('abort', onDisconnect, {once: true});
		queue.add(start, {
			id: request.id, queue: request.queueName, team: request.team, share: request.share, urgent: request.queue.urgent, signal: removal.signal,
		}).catch((error: unknown) => {
			// Also called for entries removed by the signal; their promise is already resolved.
			reject(error instanceof Error ? error : new Error('the attempt failed', {cause: error}));
		});
	});

	return {
		async run(request, job) {
			if (request.disconnectSignal.aborted) {
				return {type: 'cancelled'};
			}

			updateConcurrency();
			const problem = findRefusal(request);
			return problem === undefined ? enqueue(request, job) : {type: 'refused', problem};
		},
		updateConcurrency,
		unblock(team) {
			fairQueue.unblock({team});
			updateConcurrency();
		},
		refuseQueued(problem) {
			for (const refuse of refusalCallbacks) {
				refuse(problem);
			}
		},
		countQueued: () => fairQueue.length(),
		countQueuedOfTeam: team => fairQueue.teamLength({team}),
	};
};
