/** Plays one load with one fault schedule in virtual time and reports figures and broken rules. */
import type {JobService} from '@turmericbay/job-service';
import type {JobDeclaration, JobState} from '@turmericbay/scheduler';
import {JobState as State} from '@turmericbay/scheduler';
import type {Violation} from '@turmericbay/worker-model';
import {createOracle} from '@turmericbay/worker-model';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Fault} from './faults.js';
import {applyFault} from './faults.js';
import type {Load, PlannedJob} from './load.js';
import {
	createPolicies, createWork, maximumAttempts, objectiveMilliseconds, planJobs, stretch,
} from './load.js';
import {createLog} from './site-log.js';
import {createSite, wallStart} from './site.js';
import {createVirtualTime, ProcessState} from './virtual-time.js';

/** Traffic starts this long after the instances. */
const leadMilliseconds = 6000;
/** After the load: time in which all accepted jobs have to end. */
const settleMilliseconds = 25_000;
/** Callers wait three seconds for an answer. */
const callerTimeoutMilliseconds = 2600;
const callerRetries = 4;
const callerPauseMilliseconds = 700;
const pollMilliseconds = 250;

export type SitePolicy = {
	readonly instances: number;
	/** Of what runs on workers. */
	readonly leaseMilliseconds: number;
};

/** The lease is that of the program for the users' platform. */
export const usualPolicy: SitePolicy = {instances: 3, leaseMilliseconds: 3500};

export type RunFigures = {
	readonly sent: number;
	readonly accepted: number;
	readonly completed: number;
	readonly inTime: number;
	/** Within three times the objective. */
	readonly late: number;
	readonly starts: number;
	/** Machine-seconds outside the standby pool. */
	readonly poolSeconds: number;
	readonly moves: number;
	readonly medianMilliseconds: number;
	readonly worstTenthMilliseconds: number;
	readonly violations: readonly Violation[];
	/** Accepted jobs that never ended although the site was calm at the end. */
	readonly unfinished: readonly string[];
	readonly log: readonly string[];
};

/** Numbers in [0, 1) from a seed. */
export const createRandom = (seed: number): (() => number) => {
	const generator = xoroshiro128plus(seed);
	return () => uniformInt(generator, 0, 0x7F_FF_FF_FF) / 0x80_00_00_00;
};

/** Longest chain of the work that really has to be done. */
const chainOf = (declaration: JobDeclaration, work: ReturnType<typeof createWork>): number => {
	const ends: number[] = [];
	for (const [index, step] of declaration.steps.entries()) {
		const begin = Math.max(0, ...step.after.map(before => ends[before] ?? 0));
		const longest = Math.max(...Array.from({length: step.taskCount}, (_, task) => work(`${declaration.id}.0.${index}.${task}`, 1).durationMilliseconds));
		ends.push(begin + longest);
	}

	return Math.max(0, ...ends);
};

export const runSite = async (options: SitePolicy & {
	readonly load: Load;
	readonly faults: readonly Fault[];
	readonly seed: number;
}): Promise<RunFigures> => {
	const {load, faults, seed, leaseMilliseconds} = options;
	const random = createRandom(seed);
	const time = createVirtualTime();
	const planned = planJobs(load, random);
	const jobs = new Map(planned.map(({declaration}) => [declaration.id, declaration]));
	const work = createWork(load, jobs);
	const policies = createPolicies(load);
	const oracle = createOracle({maximumAttempts, getMaximumCpuMillis: workspace => policies.workspaces.get(workspace)?.maximum.cpuMillis ?? 0});
	const lines: string[] = [];
	const accepted = new Set<string>();
	const endedAt = new Map<string, {readonly at: number; readonly state: JobState}>();
	const sentAt = new Map<string, number>();
	let poolSeconds = 0;
	let moves = 0;

	await time.install(async () => {
		const site = createSite({
			time, random, instances: options.instances, policies, machines: new Map(Object.entries(load.machines)), cpuMillis: load.cpuMillis,
			machinesPerRack: load.machinesPerRack, leaseMilliseconds, oracle, workOf: work, log: instance => createLog(lines, time.now, instance),
		});

		const pick = () => {
			const running = [...site.instances.values()].filter(({process}) => process.state === ProcessState.Running);
			return running[Math.floor(random() * running.length)];
		};

		/** Calls an instance as its own code would run; the answer is lost with the process. */
		const ask = <Answer>(act: (jobs: JobService['jobs'], now: number) => Promise<Answer>, then: (answer: Answer | undefined) => void): void => {
			const instance = pick();
			let isAnswered = false;
			const finish = (answer: Answer | undefined): void => {
				if (!isAnswered) {
					isAnswered = true;
					then(answer);
				}
			};

			time.after(callerTimeoutMilliseconds + 400, () => {
				finish(undefined);
			});
			if (instance) {
				const {process, service} = instance;
				time.deliver(process, () => {
					void act(service.jobs, time.now()).then(answer => {
						if (process.state === ProcessState.Running) {
							finish(answer);
						}
					});
				});
			}
		};

		const poll = (id: string): void => {
			ask(async jobs => jobs.getState(id), answer => {
				if (answer?.type === 'known') {
					oracle.recordReportedState(id, answer.state, time.now());
					if (answer.state === State.Completed || answer.state === State.Failed || answer.state === State.Cancelled) {
						endedAt.set(id, {at: time.now(), state: answer.state});
						return;
					}
				}

				time.after(pollMilliseconds, () => {
					poll(id);
				});
			});
		};

		const cancel = (id: string, tries: number): void => {
			ask(async (jobs, now) => jobs.cancel(id, now + callerTimeoutMilliseconds), answer => {
				if (answer === 'cancelled') {
					oracle.recordCancellation(id, time.now());
				} else if (tries > 0) {
					cancel(id, tries - 1);
				}
			});
		};

		const submit = ({declaration}: PlannedJob, tries: number): void => {
			ask(async (jobs, now) => jobs.submit({...declaration, submittedAt: wallStart + now}, now + callerTimeoutMilliseconds), answer => {
				if (answer === 'accepted') {
					accepted.add(declaration.id);
					poll(declaration.id);
				} else if (tries > 0) {
					time.after(callerPauseMilliseconds * (0.5 + random()), () => {
						submit({declaration, at: 0, cancelAt: undefined}, tries - 1);
					});
				}
			});
		};

		for (const job of planned) {
			time.at(leadMilliseconds + job.at, () => {
				oracle.recordSubmission(job.declaration);
				sentAt.set(job.declaration.id, time.now());
				submit(job, callerRetries);
			});
			if (job.cancelAt !== undefined) {
				time.at(leadMilliseconds + job.cancelAt, () => {
					if (accepted.has(job.declaration.id)) {
						cancel(job.declaration.id, callerRetries);
					}
				});
			}
		}

		for (const [number, fault] of faults.entries()) {
			time.at(leadMilliseconds + fault.at, () => {
				lines.push(`${(time.now() / 1000).toFixed(3)} fault ${JSON.stringify(fault)}`);
				applyFault({
					fault, site, time, random, number: number + 1,
				});
			});
		}

		const measureMilliseconds = 100;
		let pools = new Map<string, string>();
		const measure = (): void => {
			const next = new Map([...site.machines.machines.values()].map(({machine, pool}) => [machine, pool]));
			for (const [machine, pool] of next) {
				poolSeconds += pool === load.standbyPool ? 0 : measureMilliseconds / 1000;
				moves += pools.size > 0 && pools.get(machine) !== pool ? 1 : 0;
			}

			pools = next;
			if (time.now() < leadMilliseconds + (load.seconds * 1000)) {
				time.after(measureMilliseconds, measure);
			}
		};

		time.at(leadMilliseconds, measure);
		await time.runUntil(leadMilliseconds + (load.seconds * 1000) + settleMilliseconds);
		for (const {process} of site.instances.values()) {
			process.state = ProcessState.Killed;
		}
	});

	const durations: number[] = [];
	let inTime = 0;
	let late = 0;
	for (const [id, {at, state}] of endedAt) {
		if (state === State.Completed) {
			const duration = at - sentAt.get(id)!;
			const objective = (stretch * chainOf(jobs.get(id)!, work)) + objectiveMilliseconds;
			durations.push(duration);
			inTime += duration <= objective ? 1 : 0;
			late += duration > objective && duration <= 3 * objective ? 1 : 0;
		}
	}

	durations.sort((left, right) => left - right);
	return {
		sent: planned.length, accepted: accepted.size, completed: durations.length, inTime, late, starts: oracle.countStarts(),
		poolSeconds: Math.round(poolSeconds), moves,
		medianMilliseconds: Math.round(durations[Math.floor(durations.length / 2)] ?? 0),
		worstTenthMilliseconds: Math.round(durations[Math.floor(durations.length * 0.9)] ?? 0),
		violations: oracle.violations,
		unfinished: oracle.listUnfinished(accepted).filter(id => !jobs.get(id)!.steps.some(step => step.longRunning)),
		log: lines,
	};
};
