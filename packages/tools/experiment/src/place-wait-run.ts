/** Runs the scheduler on one generated load in virtual time, without a network: starts succeed at once, and ends are reported at once. */
import type {
	DecidePlace, RunRow, Scheduler, WorkerRow,
} from '@turmericbay/scheduler';
import {createScheduler, EndReason, JobState} from '@turmericbay/scheduler';
import {createRandom} from './run-simulation.js';
import type {PlaceWaitLoad} from './place-wait-loads.js';
import {
	drawArrivals, rackCount, slotsPerWorker, taskCpuMillis, workersPerRack,
} from './place-wait-loads.js';

const tickMilliseconds = 10;
const reportIntervalMilliseconds = 500;
/** Jobs arrive in the first part of a run; the rest of it lets them end. */
const arrivalMilliseconds = 60_000;
const totalMilliseconds = 120_000;
const farFactor = 2;
const pool = 'pool';

export type PlaceWaitRule = {
	readonly name: string;
	/** 1 for the scheduler without waits and without expected ends. */
	readonly farFactor: number;
	readonly decidePlace: DecidePlace | undefined;
};

export type PlaceWaitFigures = {
	readonly jobs: number;
	readonly jobsInTime: number;
	/** Times from submission to end of the jobs, in milliseconds. */
	readonly latencies: readonly number[];
	readonly tasks: number;
	readonly farTasks: number;
	readonly waitedMilliseconds: readonly number[];
	/** Processor time of one tick of the scheduler, in milliseconds. */
	readonly tickDurations: readonly number[];
};

const queues = new Map(['quick', 'batch'].map(name => [name, {
	name, pool, priority: 0, maximumAttempts: 3, stretch: 1.6, objectiveMilliseconds: 600, advice: undefined,
}] as const));

const addWorkers = (scheduler: Scheduler): void => {
	for (let index = 0; index < rackCount * workersPerRack; index += 1) {
		scheduler.registerWorker({
			registration: {
				id: `w${index}`, incarnation: 1, address: `w${index}:1`, pool, zone: 'zone', draining: false, slowStartMilliseconds: 0, labels: ['a', `r1-${1 + Math.floor(index / workersPerRack)}`],
				capacity: {cpuMillis: slotsPerWorker * taskCpuMillis, memoryMegabytes: 100_000, accelerators: 0},
			},
			isRegistered: true, isReconciled: true, latestLeaseExpiry: Number.POSITIVE_INFINITY,
		});
	}
};

const findRack = (worker: WorkerRow): string => worker.registration.labels[1]!;

/** Simulates the workers: how long runs take, and their reports. */
const createWorkers = (scheduler: Scheduler, load: PlaceWaitLoad, actualMilliseconds: ReadonlyMap<string, readonly number[]>) => {
	const reportedAt = new Map<WorkerRow, number>();

	const isFar = ({task, worker}: RunRow): boolean => {
		const {preferredRack, sameRack} = task.step.declaration;
		const racks = new Set(task.step.tasks.flatMap(member => [...member.runs.values()].map(row => findRack(row.worker))));
		return sameRack ? racks.size > 1 : preferredRack !== undefined && preferredRack !== findRack(worker);
	};

	const isSlow = (worker: WorkerRow): boolean => findRack(worker) === 'r1-1';

	return {
		isFar,
		/** Run time in milliseconds; the members of a gang end together with the slowest. */
		computeRunTime(row: RunRow): number {
			const {job, declaration, tasks} = row.task.step;
			const members = declaration.gang ? tasks.flatMap(task => [...task.runs.values()]) : [row];
			const slowdown = Math.max(...members.map(({worker}) => isSlow(worker) ? 1 / load.firstRackSpeed : 1));
			return actualMilliseconds.get(job.declaration.id)![row.task.index]! * (isFar(row) ? farFactor : 1) * slowdown;
		},
		report(now: number, endsAt: ReadonlyMap<RunRow, number>): void {
			for (const worker of scheduler.workers.values()) {
				const rows = [...worker.runs.values()];
				const ended = rows.filter(row => endsAt.get(row)! <= now);
				if (ended.length === 0 && now - (reportedAt.get(worker) ?? Number.NEGATIVE_INFINITY) < reportIntervalMilliseconds) {
					continue;
				}

				reportedAt.set(worker, now);
				const running = rows.filter(row => endsAt.get(row)! > now).map(row => ({
					task: row.task.name, run: row.run, checkpoint: '', percent: Math.floor(100 * (now - row.startedAt) / (endsAt.get(row)! - row.startedAt)), latencyOrCpuUsage: 0,
				}));
				scheduler.applyRunReport({
					worker, sentAt: now, now, report: {
						incarnation: 1, hasMoreEnded: false, running, ended: ended.map((row, index) => ({
							sequence: worker.lastAppliedSequence + index + 1, task: row.task.name, run: row.run, reason: EndReason.Done, checkpoint: '',
						})),
					},
				});
			}
		},
	};
};

export const runPlaceWaitLoad = (load: PlaceWaitLoad, rule: PlaceWaitRule, seed: number): PlaceWaitFigures => {
	const random = createRandom(seed);
	const waitedMilliseconds: number[] = [];
	const scheduler = createScheduler({
		epoch: 1, farFactor: rule.farFactor, ...rule.decidePlace && {decidePlace: rule.decidePlace}, emit(event) {
			if (event.type === 'place-wait-ended') {
				waitedMilliseconds.push(event.milliseconds);
			}
		},
	});
	scheduler.setPolicies({queues, pools: new Map([[pool, {name: pool, enforcesCapacity: true, standby: false}]]), workspaces: new Map()});
	addWorkers(scheduler);
	const actualMilliseconds = new Map<string, readonly number[]>();
	const workers = createWorkers(scheduler, load, actualMilliseconds);
	const endsAt = new Map<RunRow, number>();
	const latencies: number[] = [];
	const tickDurations: number[] = [];
	let jobsInTime = 0;
	let tasks = 0;
	let farTasks = 0;
	for (let now = 0; now < totalMilliseconds; now += tickMilliseconds) {
		for (const {queue, step, actualMilliseconds: actual} of now < arrivalMilliseconds ? drawArrivals(load, random, {now, tickMilliseconds}) : []) {
			const id = `j${actualMilliseconds.size}`;
			actualMilliseconds.set(id, actual);
			scheduler.addJob({
				id, queue, workspace: undefined, payload: '', steps: [step], repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: now,
			}, {isRestored: false, now, wallNow: now});
		}

		workers.report(now, endsAt);
		for (const job of scheduler.changedJobs) {
			if (job.state === JobState.Completed) {
				latencies.push(now - job.submittedAt);
				jobsInTime += now <= job.deadline ? 1 : 0;
				scheduler.removeJob(job);
			}
		}

		const startedAt = performance.now();
		const orders = scheduler.plan({now, wallNow: now, mayStart: true});
		tickDurations.push(performance.now() - startedAt);
		const rows = orders.flatMap(order => order.type === 'start' ? [order.row] : []);
		for (const row of rows) {
			scheduler.recordStartOutcome(row, {type: 'started'}, now);
			endsAt.set(row, now + workers.computeRunTime(row));
			tasks += 1;
			farTasks += workers.isFar(row) ? 1 : 0;
		}
	}

	return {
		jobs: actualMilliseconds.size, jobsInTime, latencies, tasks, farTasks, waitedMilliseconds, tickDurations,
	};
};
