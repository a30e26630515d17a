/** Load by turns: each queue in its time asks for several times its mean, and for next to nothing in between. */
import type {
	JobDeclaration, Policies, PoolPolicy, QueuePolicy, StepDeclaration, WorkspacePolicy,
} from '@turmericbay/scheduler';
import {EndReason} from '@turmericbay/scheduler';
import type {TaskWork} from '@turmericbay/worker-model';

export type QueueLoad = {
	readonly queue: string;
	readonly pool: string;
	readonly jobsPerSecond: number;
	readonly steps: number;
	/** Tasks of a step, on average. */
	readonly width: number;
	readonly cpuMillis: number;
	readonly workMilliseconds: number;
	readonly checkpointing: boolean;
	/** Jobs that serve until they are cancelled, over the whole run. */
	readonly serving: number;
};

export type Load = {
	readonly name: string;
	readonly seconds: number;
	/** Length of a queue's turn. */
	readonly turnSeconds: number;
	/** Demand in a queue's own turn, as a multiple of its mean. */
	readonly peak: number;
	/** Demand in the other turns. */
	readonly rest: number;
	readonly queues: readonly QueueLoad[];
	/** Machines of each pool; the last pool is the standby pool. */
	readonly machines: Readonly<Record<string, number>>;
	readonly standbyPool: string;
	readonly cpuMillis: number;
	readonly machinesPerRack: number;
	readonly workspaces: number;
	/** Share of tasks whose run fails by its own fault. */
	readonly failingShare: number;
	/** Share of jobs that can never be done. */
	readonly hopelessShare: number;
};

/** Shaped like the first deployment of the users: four queues by turns, a standby pool. */
export const turnsLoad: Load = {
	name: 'turns', seconds: 34, turnSeconds: 5, peak: 4, rest: 0.05,
	queues: [
		{
			queue: 'pickups', pool: 'pool-pickups', jobsPerSecond: 6.2, steps: 2, width: 6, cpuMillis: 880, workMilliseconds: 640, checkpointing: false, serving: 4,
		},
		{
			queue: 'repairs', pool: 'pool-repairs', jobsPerSecond: 0.6, steps: 2, width: 8, cpuMillis: 1900, workMilliseconds: 2100, checkpointing: true, serving: 4,
		},
		{
			queue: 'slots', pool: 'pool-slots', jobsPerSecond: 7.7, steps: 2, width: 6, cpuMillis: 880, workMilliseconds: 640, checkpointing: false, serving: 4,
		},
		{
			queue: 'invoices', pool: 'pool-invoices', jobsPerSecond: 0.7, steps: 2, width: 8, cpuMillis: 1900, workMilliseconds: 2100, checkpointing: true, serving: 4,
		},
	],
	machines: {
		'pool-pickups': 6, 'pool-repairs': 6, 'pool-slots': 8, 'pool-invoices': 9, 'pool-standby': 6,
	},
	standbyPool: 'pool-standby', cpuMillis: 16_000, machinesPerRack: 4, workspaces: 6, failingShare: 0.005, hopelessShare: 0.01,
};

/** Small enough for many fault schedules in a test. */
export const smallLoad: Load = {
	...turnsLoad, name: 'small', seconds: 24, turnSeconds: 4,
	queues: turnsLoad.queues.filter(({queue}) => queue === 'pickups' || queue === 'repairs').map(queue => ({
		...queue, jobsPerSecond: queue.jobsPerSecond / 4, serving: 2,
	})),
	machines: {'pool-pickups': 3, 'pool-repairs': 3, 'pool-standby': 2},
	failingShare: 0.03,
};

export type PlannedJob = {readonly at: number; readonly declaration: JobDeclaration; readonly cancelAt: number | undefined};

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
	const planned: PlannedJob[] = [];
	const nameJob = (): string => Array.from({length: 16}, () => Math.floor(random() * 16).toString(16)).join('');
	for (const [turn, queue] of load.queues.entries()) {
		const create = (at: number, steps: readonly StepDeclaration[]): JobDeclaration => ({
			id: nameJob(), queue: queue.queue, workspace: `workspace-${Math.floor(random() * load.workspaces)}`, payload: 'payload', steps,
			repetitions: 0, firstDueAt: 0, intervalMilliseconds: 0, submittedAt: at,
		});
		let at = 0;
		while (at < load.seconds * 1000) {
			const own = Math.floor(at / 1000 / load.turnSeconds) % load.queues.length === turn;
			const rate = queue.jobsPerSecond * (own ? load.peak : load.rest);
			at += -Math.log(1 - random()) * 1000 / rate;
			// A wait drawn in a quiet turn ends where the next turn begins.
			const boundary = Math.ceil((at + 1) / 1000 / load.turnSeconds) * load.turnSeconds * 1000;
			if (!own && -Math.log(1 - random()) * 1000 / rate > load.turnSeconds * 1000) {
				at = Math.min(at, boundary);
				continue;
			}

			const count = 1 + Math.floor(random() * ((2 * queue.steps) - 1));
			const steps = Array.from({length: count}, (_, index) => createStep(queue, {
				taskCount: 1 + Math.floor(random() * 2 * (queue.width - 1)), after: index === 0 ? [] : [index - 1],
				estimateMilliseconds: queue.workMilliseconds * (0.5 + random()), speculative: random() < 0.3, gang: false,
			}));
			planned.push({at, declaration: create(at, steps), cancelAt: random() < 0.03 ? at + 500 + (random() * 2000) : undefined});
		}

		for (let index = 0; index < queue.serving; index += 1) {
			const begin = random() * load.seconds * 500;
			planned.push({
				at: begin, cancelAt: undefined, declaration: create(begin, [createStep(queue, {
					taskCount: 4, longRunning: true, maximumAway: 1, maximumPerWorker: 0, resources: {cpuMillis: 1000, memoryMegabytes: 100, accelerators: 0},
				})]),
			});
		}
	}

	return planned.filter(({at}) => at < load.seconds * 1000).toSorted((left, right) => left.at - right.at);
};

/** Hashes a text to [0, 1), so that a task does the same however often it is run. */
const hash = (text: string): number => {
	let value = 2_166_136_261;
	for (const character of text) {
		value = Math.imul(value ^ character.codePointAt(0)!, 16_777_619) >>> 0; // eslint-disable-line no-bitwise -- FNV-1a.
	}

	return value / 4_294_967_296;
};

export const createWork = (load: Load, jobs: ReadonlyMap<string, JobDeclaration>) => (task: string, run: number): TaskWork => {
	const [id = '', , step = '0'] = task.split('.');
	const job = jobs.get(id);
	const declaration = job?.steps[Number(step)];
	const queue = load.queues.find(entry => entry.queue === job?.queue);
	const isHopeless = hash(`${id} hopeless`) < load.hopelessShare;
	const fails = isHopeless || hash(`${task} ${run}`) < load.failingShare;
	return {
		resources: declaration?.resources ?? {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0},
		durationMilliseconds: (queue?.workMilliseconds ?? 500) * (0.6 + (0.8 * hash(task))),
		outcome: fails ? EndReason.Failed : EndReason.Done,
		longRunning: declaration?.longRunning ?? false, bestEffort: declaration?.fills ?? false, checkpointing: declaration?.checkpointing ?? false,
		gangSize: declaration?.gang ? declaration.taskCount : undefined,
	};
};
