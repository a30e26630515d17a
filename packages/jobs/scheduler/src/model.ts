/** Declarations and table rows of jobs, tasks, runs and workers. Times are milliseconds on the owner's monotonic clock unless a comment says otherwise. */

export type Resources = {
	/** Thousandths of a core. */
	readonly cpuMillis: number;
	readonly memoryMegabytes: number;
	readonly accelerators: number;
};

export type StepDeclaration = {
	readonly taskCount: number;
	/** Requirements of one task. */
	readonly resources: Resources;
	/** Declared run time of one task; may be inaccurate. */
	readonly estimateMilliseconds: number;
	/** Indices of the earlier steps that this step depends on. */
	readonly after: readonly number[];
	readonly checkpointing: boolean;
	/** All tasks of the step run at the same time and end together (gang scheduling). */
	readonly gang: boolean;
	/** Preferred, not required: all members of the gang run on workers in the same rack. */
	readonly sameRack: boolean;
	readonly requiredLabel: string | undefined;
	/** Rack that holds the input data. */
	readonly preferredRack: string | undefined;
	/** Maximum number of tasks of the step, within one occurrence, on one worker; 0 means no limit. */
	readonly maximumPerWorker: number;
	/** A task may have a second run on another worker (speculative execution). */
	readonly speculative: boolean;
	/** Runs until the job is cancelled. */
	readonly longRunning: boolean;
	readonly image: string;
	/** Response time target of a service task; 0 if it has none. */
	readonly targetMilliseconds: number;
	/** Best effort: reserves no CPU and uses what the other tasks of its worker leave idle. */
	readonly fills: boolean;
	/** Maximum number of tasks of a long-running step that maintenance may make unavailable at the same time; undefined for no limit. */
	readonly maximumAway: number | undefined;
};

export type JobDeclaration = {
	readonly id: string;
	readonly queue: string;
	/** Undefined for jobs on public queues. */
	readonly workspace: string | undefined;
	/** Opaque; passed to the worker. */
	readonly payload: string;
	readonly steps: readonly StepDeclaration[];
	/** Number of occurrences of a recurring job; 0 for a job that runs once. */
	readonly repetitions: number;
	/** Unix time in milliseconds. */
	readonly firstDueAt: number;
	readonly intervalMilliseconds: number;
	/** Unix time in milliseconds, by the clock of the instance that accepted the job. */
	readonly submittedAt: number;
	/**
	 * Policy of the queue when the job was accepted. Applies if the queue is not configured any more
	 * when an owner loads the job; undefined in records of older builds.
	 */
	readonly acceptedPolicy?: QueuePolicy;
};

/** Time that the advice service takes for each request, and in addition for each worker named in it. */
export type AdvicePolicy = {readonly decideMilliseconds: number; readonly perWorkerMilliseconds: number};

export type QueuePolicy = {
	readonly name: string;
	readonly pool: string;
	/** 0 is the highest priority. */
	readonly priority: number;
	readonly maximumAttempts: number;
	/** A job meets its objective if it ends within `stretch` times its critical path plus `objectiveMilliseconds`. */
	readonly stretch: number;
	readonly objectiveMilliseconds: number;
	/** Set if the advice service decides which workers may run a step. */
	readonly advice: AdvicePolicy | undefined;
};

export type PoolPolicy = {
	readonly name: string;
	/** Workers reject starts that exceed their capacity. */
	readonly enforcesCapacity: boolean;
	/** Machines in this pool are powered off and cost nothing. */
	readonly standby: boolean;
};

export type WorkspacePolicy = {
	readonly name: string;
	/** Share of the workspace in a pool that is full, relative to the weights of the others. */
	readonly weight: number;
	/** Limit on the resources of all runs at the same time; 0 means no limit on that resource. */
	readonly maximum: Resources;
};

export type Policies = {
	readonly queues: ReadonlyMap<string, QueuePolicy>;
	readonly pools: ReadonlyMap<string, PoolPolicy>;
	readonly workspaces: ReadonlyMap<string, WorkspacePolicy>;
};

export enum JobState {
	Queued = 'queued',
	Running = 'running',
	Completed = 'completed',
	Failed = 'failed',
	Cancelled = 'cancelled',
}

export enum RunPhase {
	/** The start request was sent and has not been answered. */
	Starting = 'starting',
	/** The start request timed out, or a previous owner recorded it; the worker may have executed it or may still do so. */
	Unconfirmed = 'unconfirmed',
	Running = 'running',
	/** A stop was requested; the run still counts against capacity and limits. */
	Stopping = 'stopping',
}

export enum EndReason {
	Done = 'done',
	Failed = 'failed',
	Stopped = 'stopped',
	LeaseExpired = 'lapsed',
	GangMemberEnded = 'broken',
	/** The other members of the gang did not start in time. */
	GangTimeout = 'alone',
}

export type RunRow = {
	readonly task: TaskRow;
	/** Increases with each run of the task. */
	readonly run: number;
	readonly worker: WorkerRow;
	phase: RunPhase;
	/** The start request may have reached the worker. */
	isSent: boolean;
	readonly startedAt: number;
	/** Started from a checkpoint, so that it does less than the whole task. */
	readonly isResumed: boolean;
	/** When the run was first confirmed to have started. */
	confirmedAt: number | undefined;
	/** Since when it is unknown whether the run has started; undefined if its start request was answered. */
	unconfirmedAt: number | undefined;
	/** When the latest stop request was sent. */
	stopSentAt: number | undefined;
	/** When the worker acknowledged a stop request; from then on it rejects a delayed start of this run. */
	stopAcknowledgedAt: number | undefined;
	stopInFlight: boolean;
	percent: number;
	/** Reported by the worker: tail latency in milliseconds for a service task, CPU usage in thousandths of a core for any other. */
	latencyOrCpuUsage: number;
	/** Share of its full speed at which the run may proceed. */
	speedLimitPercent: number;
	throttleInFlight: boolean;
	/** To be stopped here and started on another worker. */
	isEvacuating: boolean;
	/** When `percent` last changed. */
	progressedAt: number;
};

export type TaskRow = {
	readonly name: string;
	readonly step: StepRow;
	readonly index: number;
	done: boolean;
	readonly runs: Map<number, RunRow>;
	lastRun: number;
	/** Numbers of the failed runs, not a mere count: a new owner may receive an ended run that a previous owner has already counted. */
	readonly failedRuns: number[];
	readonly failedWorkers: string[];
	/** Numbers of the runs under which a worker has crashed. */
	readonly crashedRuns: number[];
	/** Numbers of the runs under which a worker may have crashed. Not stored. */
	readonly suspectedRuns: Set<number>;
	checkpoint: string;
	/** Earliest time of the next start, after a rejected one. */
	notBefore: number;
	/** Earliest time of the next start, after repeated crashes. */
	crashDelayUntil: number;
};

export type Ticket = {readonly value: string; readonly expiresAt: number; readonly incarnation: number};

export type StepRow = {
	readonly job: JobRow;
	readonly occurrence: number;
	readonly index: number;
	readonly declaration: StepDeclaration;
	readonly tasks: TaskRow[];
	/** Number of tasks that are not done. */
	remaining: number;
	/** Number of tasks that are neither done nor have a run. */
	waiting: number;
	/** Tickets from the advice service by worker; only workers with a ticket may run the step. */
	readonly tickets: Map<string, Ticket>;
	/** Workers that the advice service was asked about and gave no ticket for. */
	readonly disallowedWorkers: Set<string>;
	adviceInFlight: boolean;
};

export type JobRow = {
	readonly declaration: JobDeclaration;
	/** Steps of the occurrences that are open: due, not finished, and not held back by earlier ones. */
	readonly occurrences: Map<number, StepRow[]>;
	/** The first occurrence that has not been opened yet. */
	nextOccurrence: number;
	finishedOccurrences: number;
	state: JobState;
	/** A run of the job has started. */
	begun: boolean;
	/** Duration of the longest chain of dependent steps, by the declared estimates. */
	readonly criticalPathMilliseconds: number;
	readonly submittedAt: number;
	/** Latest end that meets the objective. */
	deadline: number;
	/** Until when a late result is still of use. */
	usefulUntil: number;
};

/** A worker's entry in the platform's worker list. */
export type WorkerRegistration = {
	readonly id: string;
	/** Start of the worker process, Unix time in milliseconds; identifies the process among those that have used the worker's name. */
	readonly incarnation: number | undefined;
	readonly address: string;
	readonly pool: string;
	readonly zone: string;
	readonly draining: boolean;
	readonly capacity: Resources;
	readonly labels: readonly string[];
	/** Time for which the worker is still slow after its start; 0 if it is not. */
	readonly slowStartMilliseconds: number;
};

export type WorkerRow = {
	registration: WorkerRegistration;
	/** Present in the platform's worker list. */
	isRegistered: boolean;
	incarnation: number | undefined;
	/** Increases with each process that this owner has seen under the name. */
	generation: number;
	/** No unknown runs are left on the worker: it has answered this owner, or all earlier leases have expired. */
	isReconciled: boolean;
	/** Latest time at which a lease granted by this or a previous owner can still be valid. */
	latestLeaseExpiry: number;
	/** When this owner granted the newest lease. */
	leaseGrantedAt: number;
	/** Send time of the latest call that was answered. */
	lastContactAt: number;
	/** Consecutive unanswered calls. */
	unansweredCalls: number;
	/** Sequence number of the last ended run that was applied. */
	lastAppliedSequence: number;
	/** Gets no new runs before this time. */
	avoidUntil: number;
	/** Gets no new runs because of maintenance or a move of its machine. */
	isCordoned: boolean;
	/** The operator has evacuated its zone, so it gets no new runs. */
	isZoneEvacuated: boolean;
	/** Slow since it started recently; gets runs only if no other worker has capacity. */
	isStartingSlowly: boolean;
	/** An order that ends this worker process was or is about to be sent. */
	isTerminating: boolean;
	readonly runs: Map<string, RunRow>;
	used: {cpuMillis: number; memoryMegabytes: number; accelerators: number};
	/** Decaying counts of ended runs, to detect workers on which runs fail. */
	recentFailures: number;
	recentSuccesses: number;
	/** Speed of its runs relative to the median of all workers; 1 is normal. */
	speed: number;
};

export type RunningEntry = {
	readonly task: string;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	readonly latencyOrCpuUsage: number;
};

export type EndedEntry = {
	readonly sequence: number;
	readonly task: string;
	readonly run: number;
	readonly reason: EndReason;
	readonly checkpoint: string;
};

/** A worker's report of its runs. */
export type RunReport = {
	readonly incarnation: number | undefined;
	readonly running: readonly RunningEntry[];
	readonly ended: readonly EndedEntry[];
	/** The report is full: the worker may have further ended runs. */
	readonly hasMoreEnded: boolean;
};

/** Finds the label that names the rack of a worker or machine, such as r1-3. */
export const findRack = (registration: Pick<WorkerRegistration, 'labels'>): string | undefined => registration.labels.find(label => label.startsWith('r') && label.includes('-'));
export const formatTaskName = (options: {job: string; occurrence: number; step: number; index: number}): string =>
	`${options.job}.${options.occurrence}.${options.step}.${options.index}`;
export const formatRunKey = (task: string, run: number): string => `${task}#${run}`;
