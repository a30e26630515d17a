/** Measures the time per decision of the admission and routing packages on the real clock; the other tables use simulated time. */
import process from 'node:process';
import {build} from 'hdr-histogram-js';
import {checkAdmission, createFairQueue, getFlowName} from '@turmericbay/admission';
import {AttemptResult, createRoutingTable} from '@turmericbay/routing';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import {createRandom} from './random.js';

const pool = 'pricing';
const rounds = 50_000;
const noInstances: ReadonlySet<string> = new Set();

export type DecisionTime = {
	readonly name: string;
	readonly p50Microseconds: number;
	readonly p99Microseconds: number;
	readonly p999Microseconds: number;
};

const measureDecision = (name: string, count: number, decide: (round: number) => void): DecisionTime => {
	const histogram = build({lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000_000, numberOfSignificantValueDigits: 3});
	for (let round = 0; round < count; round++) {
		const start = process.hrtime.bigint();
		decide(round);
		histogram.recordValue(Math.max(1, Number(process.hrtime.bigint() - start)));
	}

	const toMicroseconds = (percentile: number): number => histogram.getValueAtPercentile(percentile) / 1000;
	return {
		name, p50Microseconds: toMicroseconds(50), p99Microseconds: toMicroseconds(99), p999Microseconds: toMicroseconds(99.9),
	};
};

/** Admits, queues, dequeues, routes and finishes one request while every team has requests waiting. */
const measureRequests = (seed: number, teamCount: number, upstreamCount: number): DecisionTime => {
	const random = createRandom(seed);
	const queue = createFairQueue<number>({tryAcquire: () => true});
	const routing = createRoutingTable({zone: 'a', random});
	routing.updatePools({pools: {[pool]: {slotsPerInstance: 8, connectionsPerInstance: 64, maximumUnavailable: 1}}, now: 0});
	routing.updateInstances({
		instances: Array.from({length: upstreamCount}, (_, index) => ({
			instance: `upstream-${index}`, incarnation: 'first', address: '127.0.0.1:1', role: InstanceRole.Upstream, pool, zone: index % 3 === 0 ? 'a' : 'b', rack: 'r', state: InstanceState.Live,
		})),
		now: 0,
	});
	const enqueue = (round: number): void => {
		const team = `team-${round % teamCount}`;
		queue.enqueue({
			id: String(round), job: round, queue: pool, team, share: 1 + (round % 7), urgent: false,
		});
	};

	for (let round = 0; round < teamCount * 2; round++) {
		enqueue(round);
	}

	return measureDecision(`request, ${teamCount} teams waiting, ${upstreamCount} upstreams`, rounds, round => {
		const team = `team-${round % teamCount}`;
		checkAdmission({
			queueLength: queue.queueLength({queue: pool}),
			maximumQueued: 1e6,
			entriesAhead: queue.estimateEntriesAhead({flow: getFlowName({team, queue: pool}), share: 1, urgent: false}),
			concurrency: 64,
			freeSlots: routing.countFreeSlots({pool, now: round}),
			runTime: {meanMilliseconds: 1, likelyMaximumMilliseconds: 3},
			remainingMilliseconds: 1e9,
		});
		enqueue(round + (teamCount * 2));
		queue.dequeue();
		const upstream = routing.startRequest({pool, now: round, excluded: noInstances});
		if (upstream !== undefined) {
			routing.finishRequest({upstream, result: AttemptResult.Success, now: round});
		}
	});
};

const measureCancellations = (): DecisionTime => {
	const queue = createFairQueue<number>({tryAcquire: () => true});
	for (let id = 0; id < rounds; id++) {
		queue.enqueue({
			id: String(id), job: id, queue: pool, team: `team-${id % 6}`, share: 1, urgent: false,
		});
	}

	return measureDecision(`cancellation, ${rounds} queued, all cancelled`, rounds, id => {
		queue.remove({id: String(id)});
	});
};

export const measureDecisions = (seed: number): readonly DecisionTime[] => [
	measureRequests(seed, 6, 9),
	measureRequests(seed, 720, 20),
	measureCancellations(),
];
