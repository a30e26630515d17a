/** Runs one load with one fault schedule in virtual time; reports statistics and violated rules. */
import type {JobService} from '@turmericbay/job-service';
import type {JobDeclaration} from '@turmericbay/scheduler';
import {JobState} from '@turmericbay/scheduler';
import type {Violation} from '@turmericbay/worker-model';
import {createOracle} from '@turmericbay/worker-model';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {createEvacuationCheck} from './evacuation-check.js';
import type {Fault} from './faults.js';
import {applyFault} from './faults.js';
import type {Load, PlannedJob} from './load.js';
import {
	createPolicies, createWork, maximumAttempts, objectiveMilliseconds, planJobs, stretch,
} from './load.js';
import {createSimulationLog} from './simulation-log.js';
import {createSimulatedCluster, startWallMilliseconds} from './simulated-cluster.js';
import {createVirtualTime, ProcessState} from './virtual-time.js';

/** Time between the start of the instances and the first job. */
const warmUpMilliseconds = 6000;
/** Accepted jobs must end within this time after the load. */
const settleMilliseconds = 25_000;
/** Deadline that callers pass to the instance; they give up after 400 ms more, so after 3 s. */
const callerTimeoutMilliseconds = 2600;
const callerRetries = 4;
const callerRetryDelayMilliseconds = 700;
const pollMilliseconds = 250;
/** Time after which no task may start in an evacuated zone. */
const evacuationMilliseconds = 5000;

export type SimulationPolicy = {
	readonly instances: number;
	/** Lease of runs on workers. */
	readonly leaseMilliseconds: number;
	/** Rate at which an instance receives listings of the store. */
	readonly listingBytesPerSecond: number;
	/** Fleets of at most this many workers are called by the owner alone. */
	readonly largestDirectFleet: number;
};

/** Uses the lease that the program for the users' platform has. */
export const defaultPolicy: SimulationPolicy = {
	instances: 3, leaseMilliseconds: 3500, listingBytesPerSecond: 10_000_000, largestDirectFleet: 64,
};

export type SimulationResult = {
	readonly sent: number;
	readonly accepted: number;
	readonly completed: number;
	readonly completedInTime: number;
	/** Completed after the objective, but within three times the objective. */
	readonly completedLate: number;
	readonly starts: number;
	/** Machine-seconds in pools other than the standby pool. */
	readonly poolMachineSeconds: number;
	readonly machineMoves: number;
	readonly medianMilliseconds: number;
	readonly ninetiethPercentileMilliseconds: number;
	readonly violations: readonly Violation[];
	/** Starts in other zones while a zone was evacuated. */
	readonly startsBesideEvacuations: number;
	/** Jobs that callers were shown as failed. */
	readonly failed: readonly string[];
	/** Accepted jobs that did not end in the fault-free time after the load. */
	readonly unfinished: readonly string[];
	readonly logLines: readonly string[];
};

/** Pseudo-random numbers in [0, 1). */
export const createRandom = (seed: number): (() => number) => {
	const generator = xoroshiro128plus(seed);
	return () => uniformInt(generator, 0, 0x7F_FF_FF_FF) / 0x80_00_00_00;
};

/** Critical path by the actual durations of the tasks, not by their estimates. */
const computeCriticalPathMilliseconds = (declaration: JobDeclaration, createTaskWork: ReturnType<typeof createWork>): number => {
	const stepEnds: number[] = [];
	for (const [index, step] of declaration.steps.entries()) {
		const begin = Math.max(0, ...step.after.map(before => stepEnds[before] ?? 0));
		const longest = Math.max(...Array.from({length: step.taskCount}, (_, task) => createTaskWork(`${declaration.id}.0.${index}.${task}`, 1).durationMilliseconds));
		stepEnds.push(begin + longest);
	}

	return Math.max(0, ...stepEnds);
};

export const runSimulation = async (options: SimulationPolicy & {
	readonly load: Load;
	readonly faults: readonly Fault[];
	readonly seed: number;
}): Promise<SimulationResult> => {
	const {load, faults, seed, leaseMilliseconds, listingBytesPerSecond} = options;
	const random = createRandom(seed);
	const time = createVirtualTime();
	const plannedJobs = planJobs(load, random);
	const jobs = new Map(plannedJobs.map(({declaration}) => [declaration.id, declaration]));
	const createTaskWork = createWork(load, jobs);
	const policies = createPolicies(load);
	const oracle = createOracle({maximumAttempts, getMaximumCpuMillis: workspace => policies.workspaces.get(workspace)?.maximum.cpuMillis ?? 0});
	const evacuationCheck = createEvacuationCheck({limitMilliseconds: evacuationMilliseconds});
	const logLines: string[] = [];
	const accepted = new Set<string>();
	const endedAt = new Map<string, {readonly at: number; readonly state: JobState}>();
	const sentAt = new Map<string, number>();
	let poolMachineSeconds = 0;
	let machineMoves = 0;

	await time.runWithVirtualTimers(async () => {
		const cluster = createSimulatedCluster({
			time, random, instances: options.instances, policies, machines: new Map(Object.entries(load.machines)), cpuMillis: load.cpuMillis,
			machinesPerRack: load.machinesPerRack, leaseMilliseconds, listingBytesPerSecond, evacuation: faults.some(({type}) => type === 'evacuation') ? {milliseconds: evacuationMilliseconds, check: evacuationCheck} : undefined,
			largestDirectFleet: options.largestDirectFleet,
			oracle, createWork: createTaskWork, createLog: instance => createSimulationLog(logLines, time.now, instance),
		});

		const pickRunningInstance = () => {
			const running = [...cluster.instances.values()].filter(({process}) => process.state === ProcessState.Running);
			return running[Math.floor(random() * running.length)];
		};

		/** Calls a random running instance; the response is lost if that process is killed or paused. */
		const callInstance = <Response>(operation: (jobs: JobService['jobs'], now: number) => Promise<Response>, onOutcome: (response: Response | undefined) => void): void => {
			const instance = pickRunningInstance();
			let isAnswered = false;
			const finish = (response: Response | undefined): void => {
				if (!isAnswered) {
					isAnswered = true;
					onOutcome(response);
				}
			};

			time.scheduleAfter(callerTimeoutMilliseconds + 400, () => {
				finish(undefined);
			});
			if (instance) {
				const {process, service} = instance;
				time.runInProcess(process, () => {
					void operation(service.jobs, time.now()).then(response => {
						if (process.state === ProcessState.Running) {
							finish(response);
						}
					});
				});
			}
		};

		const pollState = (id: string): void => {
			callInstance(async jobs => jobs.getState(id), response => {
				if (response?.type === 'known') {
					oracle.recordReportedState(id, response.state, time.now());
					if (response.state === JobState.Completed || response.state === JobState.Failed || response.state === JobState.Cancelled) {
						endedAt.set(id, {at: time.now(), state: response.state});
						return;
					}
				}

				time.scheduleAfter(pollMilliseconds, () => {
					pollState(id);
				});
			});
		};

		const cancel = (id: string, remainingRetries: number): void => {
			callInstance(async (jobs, now) => jobs.cancel(id, now + callerTimeoutMilliseconds), response => {
				if (response === 'cancelled') {
					oracle.recordCancellation(id, time.now());
				} else if (remainingRetries > 0) {
					cancel(id, remainingRetries - 1);
				}
			});
		};

		const submit = ({declaration}: PlannedJob, remainingRetries: number): void => {
			callInstance(async (jobs, now) => jobs.submit({...declaration, submittedAt: startWallMilliseconds + now}, now + callerTimeoutMilliseconds), response => {
				if (response === 'accepted') {
					accepted.add(declaration.id);
					pollState(declaration.id);
				} else if (remainingRetries > 0) {
					time.scheduleAfter(callerRetryDelayMilliseconds * (0.5 + random()), () => {
						submit({declaration, at: 0, cancelAt: undefined}, remainingRetries - 1);
					});
				}
			});
		};

		for (const job of plannedJobs) {
			time.scheduleAt(warmUpMilliseconds + job.at, () => {
				oracle.recordSubmission(job.declaration);
				sentAt.set(job.declaration.id, time.now());
				submit(job, callerRetries);
			});
			if (job.cancelAt !== undefined) {
				time.scheduleAt(warmUpMilliseconds + job.cancelAt, () => {
					if (accepted.has(job.declaration.id)) {
						cancel(job.declaration.id, callerRetries);
					}
				});
			}
		}

		for (const [number, fault] of faults.entries()) {
			time.scheduleAt(warmUpMilliseconds + fault.at, () => {
				logLines.push(`${(time.now() / 1000).toFixed(3)} fault ${JSON.stringify(fault)}`);
				applyFault({
					fault, cluster, time, random, waveNumber: number + 1,
				});
			});
		}

		const sampleIntervalMilliseconds = 100;
		let previousPools = new Map<string, string>();
		const samplePools = (): void => {
			const currentPools = new Map([...cluster.machines.machines.values()].map(({machine, pool}) => [machine, pool]));
			for (const [machine, pool] of currentPools) {
				poolMachineSeconds += pool === load.standbyPool ? 0 : sampleIntervalMilliseconds / 1000;
				machineMoves += previousPools.size > 0 && previousPools.get(machine) !== pool ? 1 : 0;
			}

			previousPools = currentPools;
			if (time.now() < warmUpMilliseconds + (load.seconds * 1000)) {
				time.scheduleAfter(sampleIntervalMilliseconds, samplePools);
			}
		};

		time.scheduleAt(warmUpMilliseconds, samplePools);
		await time.runUntil(warmUpMilliseconds + (load.seconds * 1000) + settleMilliseconds);
		for (const {process} of cluster.instances.values()) {
			process.state = ProcessState.Killed;
		}
	});

	const durations: number[] = [];
	let completedInTime = 0;
	let completedLate = 0;
	for (const [id, {at, state}] of endedAt) {
		if (state === JobState.Completed) {
			const duration = at - sentAt.get(id)!;
			const objective = (stretch * computeCriticalPathMilliseconds(jobs.get(id)!, createTaskWork)) + objectiveMilliseconds;
			durations.push(duration);
			completedInTime += duration <= objective ? 1 : 0;
			completedLate += duration > objective && duration <= 3 * objective ? 1 : 0;
		}
	}

	durations.sort((left, right) => left - right);
	return {
		sent: plannedJobs.length, accepted: accepted.size, completed: durations.length, completedInTime, completedLate, starts: oracle.countStarts(),
		poolMachineSeconds: Math.round(poolMachineSeconds), machineMoves,
		medianMilliseconds: Math.round(durations[Math.floor(durations.length / 2)] ?? 0),
		ninetiethPercentileMilliseconds: Math.round(durations[Math.floor(durations.length * 0.9)] ?? 0),
		violations: [...oracle.violations, ...evacuationCheck.violations], startsBesideEvacuations: evacuationCheck.countStartsElsewhere(), failed: [...endedAt].filter(([, {state}]) => state === JobState.Failed).map(([id]) => id),
		unfinished: oracle.listUnfinished(accepted).filter(id => !jobs.get(id)!.steps.some(step => step.longRunning)),
		logLines,
	};
};
