/** Generated loads with preferred racks, to compare how long tasks should wait for their rack. */
import type {StepDeclaration} from '@turmericbay/scheduler';

export const rackCount = 8;
export const workersPerRack = 4;
export const slotsPerWorker = 4;
/** Thousandths of a core for one task. */
export const taskCpuMillis = 1000;
const tasksPerStep = 8;
const totalSlots = rackCount * workersPerRack * slotsPerWorker;

export type PlaceWaitLoad = {
	readonly name: string;
	/** Arriving work by slot time, as a share of the slots of the pool, if every task ran on its rack. */
	readonly utilization: (now: number) => number;
	/** Share of the jobs that prefer the first rack; the others prefer any rack alike. */
	readonly hotRackShare: number;
	/** Share of the jobs without a preferred rack. */
	readonly unboundShare: number;
	/** Share of the jobs that are gangs on one rack. */
	readonly gangShare: number;
	/** Speed of the workers of the first rack. */
	readonly firstRackSpeed: number;
};

const base = {
	hotRackShare: 0, unboundShare: 0, gangShare: 0, firstRackSpeed: 1,
};
const peakPeriodMilliseconds = 20_000;
const peakMilliseconds = 5000;

export const placeWaitLoads: readonly PlaceWaitLoad[] = [
	{
		...base, name: 'many want one rack', utilization: () => 0.4, hotRackShare: 0.5,
	},
	{...base, name: 'few per rack', utilization: () => 0.3},
	{...base, name: 'busy racks', utilization: () => 0.6},
	{
		...base, name: 'slow rack', utilization: () => 0.5, firstRackSpeed: 0.4,
	},
	{
		...base, name: 'full pool', utilization: now => now % peakPeriodMilliseconds < peakMilliseconds ? 2.5 : 0.1, unboundShare: 0.5,
	},
	{
		...base, name: 'gangs', utilization: () => 0.6, unboundShare: 0.5, gangShare: 0.3,
	},
];

export type ArrivingJob = {readonly queue: 'quick' | 'batch'; readonly step: StepDeclaration; readonly actualMilliseconds: readonly number[]};

/** Draws the jobs that arrive within one tick. Declared run times are off by up to half of their value, the same way for all tasks of a queue. */
export const drawArrivals = (load: PlaceWaitLoad, random: () => number, options: {readonly now: number; readonly tickMilliseconds: number}): ArrivingJob[] => {
	const meanJobSlotMilliseconds = tasksPerStep * 1250;
	const mean = load.utilization(options.now) * totalSlots * options.tickMilliseconds / meanJobSlotMilliseconds;
	const jobs: ArrivingJob[] = [];
	for (let left = mean; random() < left; left -= 1) {
		const queue = random() < 0.5 ? 'quick' : 'batch';
		const meanMilliseconds = queue === 'quick' ? 500 + (random() * 500) : 1400 + (random() * 700);
		const isUnbound = random() < load.unboundShare;
		const isGang = isUnbound && random() < load.gangShare / load.unboundShare;
		const rack = random() < load.hotRackShare ? 1 : 1 + Math.floor(random() * rackCount);
		jobs.push({
			queue,
			actualMilliseconds: Array.from({length: tasksPerStep}, () => isGang ? meanMilliseconds : meanMilliseconds * (0.8 + (random() * 0.4))),
			step: {
				taskCount: tasksPerStep, resources: {cpuMillis: taskCpuMillis, memoryMegabytes: 100, accelerators: 0}, estimateMilliseconds: meanMilliseconds * (queue === 'quick' ? 1.5 : 0.7),
				after: [], checkpointing: false, gang: isGang, sameRack: isGang, requiredLabel: undefined, preferredRack: isUnbound ? undefined : `r1-${rack}`, maximumPerWorker: 0,
				speculative: false, longRunning: false, image: queue, targetMilliseconds: 0, fills: false, maximumAway: undefined,
			},
		});
	}

	return jobs;
};
