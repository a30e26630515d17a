/** Load with rotating peaks: the queues take turns in demanding several times their mean load and have almost no demand in between. */
import type {
	JobDeclaration, Policies, PoolPolicy, QueuePolicy, StepDeclaration, WorkspacePolicy,
} from '@turmericbay/scheduler';
import {EndReason} from '@turmericbay/scheduler';
import type {TaskWork} from '@turmericbay/worker-model';

export type QueueLoad = {
	readonly queue: string;
	readonly pool: string;
	readonly jobsPerSecond: number;
	readonly meanStepCount: number;
	/** Mean number of tasks in a step. */
	readonly meanTaskCount: number;
	readonly cpuMillis: number;
	readonly workMilliseconds: number;
	readonly checkpointing: boolean;
	/** Jobs with a long-running step; they start in the first half of the run. */
	readonly serviceJobs: number;
};

export type Load = {
	readonly name: string;
	readonly seconds: number;
	/** Duration of one queue's peak. */
	readonly peakSeconds: number;
	/** Demand of a queue during its peak, as a multiple of its mean. */
	readonly peakFactor: number;
	/** Demand outside the peak, as a multiple of its mean. */
	readonly offPeakFactor: number;
	readonly queues: readonly QueueLoad[];
	/** Number of machines in each pool, including the standby pool. */
	readonly machines: Readonly<Record<string, number>>;
	readonly standbyPool: string;
	readonly cpuMillis: number;
	readonly machinesPerRack: number;
	readonly workspaces: number;
	/** Share of task runs that fail. */
	readonly failingRunShare: number;
	/** Share of jobs whose every run fails. */
	readonly failingJobShare: number;
	/** Share of jobs whose first task crashes every worker that starts it. */
	readonly crashingJobShare: number;
};

/** Modelled on the users' first deployment: four queues with rotating peaks and a standby pool. */
export const rotatingPeaksLoad: Load = {
	name: 'turns', seconds: 34, peakSeconds: 5, peakFactor: 4, offPeakFactor: 0.05,
	queues: [
		{
			queue: 'pickups', pool: 'pool-pickups', jobsPerSecond: 6.2, meanStepCount: 2, meanTaskCount: 6, cpuMillis: 880, workMilliseconds: 640, checkpointing: false, serviceJobs: 4,
		},
		{
			queue: 'repairs', pool: 'pool-repairs', jobsPerSecond: 0.6, meanStepCount: 2, meanTaskCount: 8, cpuMillis: 1900, workMilliseconds: 2100, checkpointing: true, serviceJobs: 4,
		},
		{
			queue: 'slots', pool: 'pool-slots', jobsPerSecond: 7.7, meanStepCount: 2, meanTaskCount: 6, cpuMillis: 880, workMilliseconds: 640, checkpointing: false, serviceJobs: 4,
		},
		{
			queue: 'invoices', pool: 'pool-invoices', jobsPerSecond: 0.7, meanStepCount: 2, meanTaskCount: 8, cpuMillis: 1900, workMilliseconds: 2100, checkpointing: true, serviceJobs: 4,
		},
	],
	machines: {
		'pool-pickups': 6, 'pool-repairs': 6, 'pool-slots': 8, 'pool-invoices': 9, 'pool-standby': 6,
	},
	standbyPool: 'pool-standby', cpuMillis: 16_000, machinesPerRack: 4, workspaces: 6, failingRunShare: 0.005, failingJobShare: 0.01, crashingJobShare: 0,
};

/** Small enough to run many fault schedules in a test. */
export const smallLoad: Load = {
	...rotatingPeaksLoad, name: 'small', seconds: 24, peakSeconds: 4,
	queues: rotatingPeaksLoad.queues.filter(({queue}) => queue === 'pickups' || queue === 'repairs').map(queue => ({
		...queue, jobsPerSecond: queue.jobsPerSecond / 4, serviceJobs: 2,
	})),
	machines: {'pool-pickups': 3, 'pool-repairs': 3, 'pool-standby': 2},
	failingRunShare: 0.03,
};

/** Tasks that outlast a lease, on enough workers that others can take over the tasks of several. */
export const longTaskLoad: Load = {
	...smallLoad, name: 'long-tasks',
	queues: smallLoad.queues.map(queue => ({...queue, workMilliseconds: queue.workMilliseconds * (queue.checkpointing ? 3 : 1)})),
	machines: {'pool-pickups': 5, 'pool-repairs': 5, 'pool-standby': 2},
};

export type PlannedJob = {readonly at: number; readonly declaration: JobDeclaration; readonly cancelAt: number | undefined};

/** Time from the start of a task that crashes its worker until the crash. */
const crashDelayMilliseconds = 10;
const priority = 1;
export const maximumAttempts = 4;
export const stretch = 1.6;
export const objectiveMilliseconds = 600;

export const createPolicies = (load: Load): Policies => ({
	queues: new Map(load.queues.map(({queue, pool}): [string, QueuePolicy] => [queue, {
		name: queue, pool, priority, maximumAttempts, stretch, objectiveMilliseconds, advice: undefined,
	}])),
	pools: new Map(Object.keys(load.machines).map((name): [string, PoolPolicy] => [name, {name, enforcesCapacity: true, standby: name === load.standbyPool}])),
	workspaces: new Map(Array.from({length: load.workspaces}, (_, index): [string, WorkspacePolicy] => [`workspace-${index}`, {
		name: `workspace-${index}`, weight: 1, maximum: {cpuMillis: 120_000, memoryMegabytes: 0, accelerators: 0},
	}])),
});

const createStep = (queue: QueueLoad, overrides: Partial<StepDeclaration>): StepDeclaration => ({
	taskCount: 1, resources: {cpuMillis: queue.cpuMillis, memoryMegabytes: 100, accelerators: 0}, estimateMilliseconds: queue.workMilliseconds, after: [],
	checkpointing: queue.checkpointing, gang: false, sameRack: false, requiredLabel: undefined, preferredRack: undefined, maximumPerWorker: 0, speculative: false,
	longRunning: false, image: '', targetMilliseconds: 0, fills: false, maximumAway: undefined, ...overrides,
});

export const planJobs = (load: Load, random: () => number): PlannedJob[] => {
	const plannedJobs: PlannedJob[] = [];
	const drawJobId = (): string => Array.from({length: 16}, () => Math.floor(random() * 16).toString(16)).join('');
	for (const [queueIndex, queue] of load.queues.entries()) {
		const createDeclaration = (at: number, steps: readonly StepDeclaration[]): JobDeclaration => ({
			id: drawJobId(), queue: queue.queue, workspace: `workspace-${Math.floor(random() * load.workspaces)}`, payload: 'payload', steps,
			repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: at,
		});
		let at = 0;
		while (at < load.seconds * 1000) {
			const isPeak = Math.floor(at / 1000 / load.peakSeconds) % load.queues.length === queueIndex;
			const rate = queue.jobsPerSecond * (isPeak ? load.peakFactor : load.offPeakFactor);
			at += -Math.log(1 - random()) * 1000 / rate;
			// A long interval drawn off peak must not skip the next peak.
			const nextPeakStart = Math.ceil((at + 1) / 1000 / load.peakSeconds) * load.peakSeconds * 1000;
			if (!isPeak && -Math.log(1 - random()) * 1000 / rate > load.peakSeconds * 1000) {
				at = Math.min(at, nextPeakStart);
				continue;
			}

			const stepCount = 1 + Math.floor(random() * ((2 * queue.meanStepCount) - 1));
			const steps = Array.from({length: stepCount}, (_, index) => createStep(queue, {
				taskCount: 1 + Math.floor(random() * 2 * (queue.meanTaskCount - 1)), after: index === 0 ? [] : [index - 1],
				estimateMilliseconds: queue.workMilliseconds * (0.5 + random()), speculative: random() < 0.3, gang: false,
			}));
			plannedJobs.push({at, declaration: createDeclaration(at, steps), cancelAt: random() < 0.03 ? at + 500 + (random() * 2000) : undefined});
		}

		for (let index = 0; index < queue.serviceJobs; index += 1) {
			const startAt = random() * load.seconds * 500;
			plannedJobs.push({
				at: startAt, cancelAt: undefined, declaration: createDeclaration(startAt, [createStep(queue, {
					taskCount: 4, longRunning: true, maximumAway: 1, maximumPerWorker: 0, resources: {cpuMillis: 1000, memoryMegabytes: 100, accelerators: 0},
				})]),
			});
		}
	}

	return plannedJobs.filter(({at}) => at < load.seconds * 1000).toSorted((left, right) => left.at - right.at);
};

/** Hashes a string to [0, 1), so that the behaviour of a task does not depend on when or how often it runs. */
const hash = (text: string): number => {
	let value = 2_166_136_261;
	for (const character of text) {
		value = Math.imul(value ^ character.codePointAt(0)!, 16_777_619) >>> 0; // eslint-disable-line no-bitwise -- FNV-1a.
	}

	return value / 4_294_967_296;
};

export const isCrashingJob = (load: Load, id: string): boolean => hash(`${id} crashing`) < load.crashingJobShare;

export const createWork = (load: Load, jobs: ReadonlyMap<string, JobDeclaration>) => (task: string, run: number): TaskWork => {
	const [id = '', , step = '0'] = task.split('.');
	const job = jobs.get(id);
	const declaration = job?.steps[Number(step)];
	const queue = load.queues.find(entry => entry.queue === job?.queue);
	const isFailingJob = hash(`${id} hopeless`) < load.failingJobShare;
	const fails = isFailingJob || hash(`${task} ${run}`) < load.failingRunShare;
	const work: TaskWork = {
		resources: declaration?.resources ?? {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0},
		durationMilliseconds: (queue?.workMilliseconds ?? 500) * (0.6 + (0.8 * hash(task))),
		outcome: fails ? EndReason.Failed : EndReason.Done,
		longRunning: declaration?.longRunning ?? false, bestEffort: declaration?.fills ?? false, checkpointing: declaration?.checkpointing ?? false,
		gangSize: declaration?.gang ? declaration.taskCount : undefined,
	};
	if (task.endsWith('.0.0') && isCrashingJob(load, id)) {
		return {
			...work, durationMilliseconds: crashDelayMilliseconds, outcome: 'worker-crash', longRunning: false,
		};
	}

	return work;
};
