/** Queue of one upstream pool: p-queue in the order of the fair queue. */
import PQueue from 'p-queue';
import {
	createFairQueue, createFairQueueClass, createRunTimeEstimator, flowName, queueingTimeMilliseconds, refuseOnArrival,
} from '@turmericbay/admission';
import type {FairQueueClass, FairQueueOptions, RunFunction} from '@turmericbay/admission';
import type {QueueDeclaration} from '@turmericbay/document';
import {ProblemCode} from '@turmericbay/types';
import type {
	GrantPort, Problem, QueueName, TeamName,
} from '@turmericbay/types';

export type Place = {
	readonly id: string;
	readonly queueName: QueueName;
	readonly queue: QueueDeclaration;
	readonly team: TeamName | undefined;
	readonly share: number;
	readonly remainingMilliseconds: number;
	readonly hangUp: AbortSignal;
};

export type QueueResult<Value>
	= | {readonly type: 'ran'; readonly value: Value}
		| {readonly type: 'refused'; readonly problem: Problem}
		/** The caller hung up while the request was queued. */
		| {readonly type: 'cancelled'};

export type Seats = {
	/** Requests in flight to the pool from this instance. */
	readonly inFlight: number;
	/** Further requests that the pool can take. */
	readonly free: number;
};

export type PoolQueue = {
	/** Runs the job in its turn; the job owns one grant unit of the team from then on. */
	run<Value>(place: Place, job: () => Promise<Value>): Promise<QueueResult<Value>>;
	/** Starts what can start after seats or units became free. */
	refresh(): void;
	unblock(team: TeamName): void;
	/** Refuses everything that is queued. */
	refuseQueued(problem: Problem): void;
	queued(): number;
	queuedOf(team: TeamName): number;
};

export const createPoolQueue = (options: {
	readonly grants: GrantPort;
	readonly seats: () => Seats;
	readonly running: (team: TeamName) => number;
	readonly now: () => number;
}): PoolQueue => {
	const {grants, seats, running, now} = options;
	const fairQueue = createFairQueue<RunFunction>({acquire: team => grants.tryAcquire({team})});
	const queue = new PQueue<InstanceType<FairQueueClass>, FairQueueOptions>({queueClass: createFairQueueClass(fairQueue), concurrency: 1});
	const withdrawals = new Set<(problem: Problem) => void>();
	const runTimes = createRunTimeEstimator();

	const refresh = (): void => {
		const {inFlight, free} = seats();
		if (inFlight + free === 0) {
			queue.pause();
			return;
		}

		queue.concurrency = inFlight + free;
		queue.start();
	};

	const refuse = (place: Place): Problem | undefined => {
		const {inFlight, free} = seats();
		const {team, share, queueName} = place;
		const {urgent, maximumQueued} = place.queue;
		return refuseOnArrival({
			queueLength: fairQueue.queueLength({queue: queueName}),
			maximumQueued,
			entriesAhead: fairQueue.expectedAhead({flow: flowName({team, queue: queueName}), share, urgent}),
			concurrency: inFlight + free,
			freeSlots: free,
			runTime: runTimes.estimate(),
			remainingMilliseconds: place.remainingMilliseconds,
			...(team !== undefined && fairQueue.isBlocked({team}) && {
				teamAtLimit: {running: running(team), queued: fairQueue.teamLength({team})},
			}),
		});
	};

	const expire = ({team}: Place): Problem => team !== undefined && fairQueue.isBlocked({team})
		? {code: ProblemCode.TeamAtLimit, detail: 'Wait until running requests of the team have ended.', retryAfterSeconds: 1}
		: {code: ProblemCode.DeadlineExceeded, detail: 'Retry later, with backoff.', retryAfterSeconds: 1};

	const measure = async <Value>(job: () => Promise<Value>): Promise<Value> => {
		const startedAt = now();
		const value = await job();
		runTimes.record(now() - startedAt);
		return value;
	};

	const enqueue = async <Value>(place: Place, job: () => Promise<Value>): Promise<QueueResult<Value>> => new Promise((resolve, reject) => {
		const leave = new AbortController();
		const stopWaiting = (): void => {
			clearTimeout(timer);
			withdrawals.delete(refuseLate);
			place.hangUp.removeEventListener('abort', onHangUp);
		};

		const withdraw = (result: QueueResult<Value>): void => {
			stopWaiting();
			resolve(result);
			leave.abort();
		};

		const onHangUp = (): void => {
			withdraw({type: 'cancelled'});
		};

		const refuseLate = (problem: Problem): void => {
			withdraw({type: 'refused', problem});
		};

		const timer = setTimeout(() => {
			refuseLate(expire(place));
		}, queueingTimeMilliseconds({remainingMilliseconds: place.remainingMilliseconds, runTime: runTimes.estimate()}));

		const start = async (): Promise<void> => {
			stopWaiting();
			resolve({type: 'ran', value: await measure(job)});
		};

		withdrawals.add(refuseLate);
		place.hangUp.addEventListener('abort', onHangUp, {once: true});
		queue.add(start, {
			id: place.id, queue: place.queueName, team: place.team, share: place.share, urgent: place.queue.urgent, signal: leave.signal,
		}).catch((error: unknown) => {
			// A withdrawn entry rejects here after its promise has been resolved.
			reject(error instanceof Error ? error : new Error('the attempt failed', {cause: error}));
		});
	});

	return {
		async run(place, job) {
			if (place.hangUp.aborted) {
				return {type: 'cancelled'};
			}

			refresh();
			const problem = refuse(place);
			return problem === undefined ? enqueue(place, job) : {type: 'refused', problem};
		},
		refresh,
		unblock(team) {
			fairQueue.unblock({team});
			refresh();
		},
		refuseQueued(problem) {
			for (const withdraw of withdrawals) {
				withdraw(problem);
			}
		},
		queued: () => fairQueue.length(),
		queuedOf: team => fairQueue.teamLength({team}),
	};
};
