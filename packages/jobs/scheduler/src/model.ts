/** Declarations and rows of jobs, tasks, runs and workers. Times are milliseconds on the owner's steady clock unless a name says wall clock. */

export type Resources = {
	/** Thousandths of a core. */
	readonly cpuMillis: number;
	readonly memoryMegabytes: number;
	readonly accelerators: number;
};

export type StepDeclaration = {
	readonly taskCount: number;
	/** Need of one task. */
	readonly resources: Resources;
	/** Declared run time of one task; may be far off. */
	readonly estimateMilliseconds: number;
	/** Indices of earlier steps whose tasks must all be done first. */
	readonly after: readonly number[];
	readonly checkpointing: boolean;
	/** The tasks work only together and end together. */
	readonly gang: boolean;
	readonly sameRack: boolean;
	readonly requiredLabel: string | undefined;
	/** Rack that holds the data. */
	readonly preferredRack: string | undefined;
	/** Most tasks of the step and occurrence on one worker; 0 means no limit. */
	readonly maximumPerWorker: number;
	readonly speculative: boolean;
	/** Runs until the job is cancelled. */
	readonly longRunning: boolean;
	readonly image: string;
	/** Response time target of a task that serves users; 0 if it serves none. */
	readonly targetMilliseconds: number;
	/** Runs on the processor time that the other tasks of its worker leave. */
	readonly fills: boolean;
	/** Tasks of a long-running step that the system may take away at the same time; undefined if the step sets no limit. */
	readonly maximumAway: number | undefined;
};

export type JobDeclaration = {
	readonly id: string;
	readonly queue: string;
	/** Undefined for jobs on public queues. */
	readonly workspace: string | undefined;
	/** Passed to the worker unread. */
	readonly payload: string;
	readonly steps: readonly StepDeclaration[];
	/** Number of occurrences of a scheduled job; 0 for a job that runs once. */
	readonly repetitions: number;
	/** Wall clock, milliseconds since 1970. */
	readonly firstDueAt: number;
	readonly intervalMilliseconds: number;
	/** Wall clock of the instance that accepted the job, milliseconds since 1970. */
	readonly submittedAt: number;
};

export type AdvicePolicy = {readonly decideMilliseconds: number; readonly perWorkerMilliseconds: number};

export type QueuePolicy = {
	readonly name: string;
	readonly pool: string;
	/** 0 comes first. */
	readonly priority: number;
	readonly maximumAttempts: number;
	/** A job is in time within `stretch` times its longest chain of work plus `objectiveMilliseconds`. */
	readonly stretch: number;
	readonly objectiveMilliseconds: number;
	/** Set if only an advice service knows which workers may run a step. */
	readonly advice: AdvicePolicy | undefined;
};

export type PoolPolicy = {
	readonly name: string;
	/** Workers reject what does not fit. */
	readonly enforcesCapacity: boolean;
	/** Machines of this pool are switched off and cost nothing. */
	readonly standby: boolean;
};

export type WorkspacePolicy = {
	readonly name: string;
	readonly weight: number;
	/** Most that may run at the same time; a component of 0 means no limit. */
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
	/** The start was sent and has no answer yet. */
	Starting = 'starting',
	/** The start got no answer, or was stored by a former owner; it may have been or may still be carried out. */
	Unconfirmed = 'unconfirmed',
	Running = 'running',
	/** A stop was ordered; the run still counts against room and limits. */
	Stopping = 'stopping',
}

export enum EndReason {
	Done = 'done',
	Failed = 'failed',
	Stopped = 'stopped',
	LeaseExpired = 'lapsed',
	/** Another member of the gang ended. */
	GangMemberEnded = 'broken',
	/** The other members of the gang did not come. */
	GangTimeout = 'alone',
}

export type RunRow = {
	readonly task: TaskRow;
	readonly run: number;
	readonly worker: WorkerRow;
	phase: RunPhase;
	readonly startedAt: number;
	/** When the run was first known to have begun; undefined before. */
	confirmedAt: number | undefined;
	/** When the start went unanswered; undefined if it was answered. */
	unconfirmedAt: number | undefined;
	/** When the newest stop was sent; undefined if none. */
	stopSentAt: number | undefined;
	/** When a stop was answered; from then on the start can no longer be carried out. */
	stopAcknowledgedAt: number | undefined;
	stopInFlight: boolean;
	percent: number;
	/** Tail of response times in milliseconds for a serving task, processor use in thousandths of a core for any other. */
	measured: number;
	speedLimitPercent: number;
	throttleInFlight: boolean;
	/** Stopped here to be started elsewhere. */
	isEvacuating: boolean;
	/** When the percentage last grew. */
	progressedAt: number;
};

export type TaskRow = {
	readonly name: string;
	readonly step: StepRow;
	readonly index: number;
	done: boolean;
	readonly runs: Map<number, RunRow>;
	lastRun: number;
	/** Numbers of the runs that failed; a new owner may see an end that a former one has counted. */
	readonly failedRuns: number[];
	readonly failedWorkers: string[];
	checkpoint: string;
	/** No start before this time, after a rejected start. */
	notBefore: number;
};

export type Ticket = {readonly value: string; readonly expiresAt: number; readonly incarnation: number};

export type StepRow = {
	readonly job: JobRow;
	readonly occurrence: number;
	readonly index: number;
	readonly declaration: StepDeclaration;
	readonly tasks: TaskRow[];
	remaining: number;
	/** Tasks neither done nor with a run. */
	waiting: number;
	/** Workers that the advice service allows. */
	readonly tickets: Map<string, Ticket>;
	readonly disallowedWorkers: Set<string>;
	adviceInFlight: boolean;
};

export type JobRow = {
	readonly declaration: JobDeclaration;
	/** Occurrences that are due and not finished. */
	readonly occurrences: Map<number, StepRow[]>;
	/** First occurrence that has not become due. */
	nextOccurrence: number;
	finishedOccurrences: number;
	state: JobState;
	begun: boolean;
	/** Milliseconds of work on the longest chain of steps, by the declared estimates. */
	readonly criticalPathMilliseconds: number;
	/** Steady clock, end of the objective. */
	deadline: number;
	/** End of the time in which a late result still counts. */
	usefulUntil: number;
};

export type WorkerRegistration = {
	readonly id: string;
	/** Start of this life, Unix milliseconds. */
	readonly incarnation: number | undefined;
	readonly address: string;
	readonly pool: string;
	readonly zone: string;
	readonly draining: boolean;
	readonly capacity: Resources;
	readonly labels: readonly string[];
};

export type WorkerRow = {
	registration: WorkerRegistration;
	/** In the platform's list of workers. */
	isRegistered: boolean;
	incarnation: number | undefined;
	/** Answered this owner at least once, so nothing unknown runs there. */
	isReconciled: boolean;
	/** Latest time at which a lease given by anyone can still run. */
	latestLeaseExpiry: number;
	/** Send time of the newest call that was answered. */
	lastContactAt: number;
	/** Consecutive unanswered calls. */
	unansweredCalls: number;
	/** Number of the last end that was applied. */
	lastAppliedSequence: number;
	/** Not used for new work before this time. */
	avoidUntil: number;
	/** Closed for new work by a wave or a move. */
	isCordoned: boolean;
	/** An order that ends this life is on its way. */
	isTerminating: boolean;
	readonly runs: Map<string, RunRow>;
	used: {cpuMillis: number; memoryMegabytes: number; accelerators: number};
	/** Recent ends by cause, to recognise workers that fail what they start. */
	recentFailures: number;
	recentSuccesses: number;
	/** Progress of its runs against their estimates, relative to all workers; 1 is usual. */
	speed: number;
};

export type RunningEntry = {
	readonly task: string;
	readonly run: number;
	readonly checkpoint: string;
	readonly percent: number;
	readonly measured: number;
};

export type EndedEntry = {
	readonly sequence: number;
	readonly task: string;
	readonly run: number;
	readonly reason: EndReason;
	readonly checkpoint: string;
};

export type RunReport = {
	readonly incarnation: number | undefined;
	readonly running: readonly RunningEntry[];
	readonly ended: readonly EndedEntry[];
	/** The worker holds back further ends. */
	readonly partial: boolean;
};

export const findRack = (report: WorkerRegistration): string | undefined => report.labels.find(label => label.startsWith('r') && label.includes('-'));
export const formatTaskName = (options: {job: string; occurrence: number; step: number; index: number}): string =>
	`${options.job}.${options.occurrence}.${options.step}.${options.index}`;
export const formatRunKey = (task: string, run: number): string => `${task}#${run}`;
