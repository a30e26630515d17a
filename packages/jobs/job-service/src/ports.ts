/** What the job service needs from outside; the adapter of a platform implements these. */
import type {
	Policies, RunReport, WorkerRegistration,
} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';
import type {Result} from 'neverthrow';

/** Steady clock in milliseconds, and the wall clock in milliseconds since 1970. */
export type Clock = {now(): number; wallNow(): number};

export enum WorkerCallErrorKind {
	/** Certainly not carried out. */
	NotSent = 'not-sent',
	/** May have been carried out, or may still be. */
	Unknown = 'unknown',
	/** Another life of the worker, or another worker, answers at the address. */
	Gone = 'gone',
	/** A newer owner has called this worker. */
	Fenced = 'fenced',
	/** The worker says that it is unhealthy, and has done nothing. */
	Unhealthy = 'unhealthy',
	/** The worker refused the content of the call, and has done nothing. */
	Invalid = 'invalid',
}

export type WorkerCallError = {readonly kind: WorkerCallErrorKind; readonly message: string};

export type WorkerTarget = {readonly id: string; readonly address: string};

export type WorkerResponse = {
	/** The worker's steady clock, milliseconds. */
	readonly clockMilliseconds: number;
	readonly incarnation: number | undefined;
};

export type StartRejection = 'fenced' | 'superseded' | 'late' | 'room' | 'ticket';

export type WorkerClient = {
	start(options: {
		readonly worker: WorkerTarget;
		readonly task: string;
		readonly run: number;
		readonly payload: string;
		/** End of the lease on the worker's clock. */
		readonly leaseExpiresAt: number;
		readonly fencingToken: number;
		readonly checkpoint: string;
		readonly ticket: string | undefined;
	}): Promise<Result<WorkerResponse & {readonly rejection: StartRejection | undefined}, WorkerCallError>>;
	stop(options: {readonly worker: WorkerTarget; readonly task: string; readonly run: number; readonly fencingToken: number}): Promise<Result<WorkerResponse, WorkerCallError>>;
	/** Extends the lease, acknowledges ends and reads the lists; waits for an end up to `waitMilliseconds`. */
	heartbeat(options: {
		readonly worker: WorkerTarget;
		readonly fencingToken: number;
		readonly acknowledgedSequence: number;
		readonly leaseExpiresAt: number | undefined;
		readonly waitMilliseconds: number;
	}): Promise<Result<WorkerResponse & {readonly report: RunReport}, WorkerCallError>>;
	throttle(options: {readonly worker: WorkerTarget; readonly task: string; readonly run: number; readonly percent: number; readonly fencingToken: number}): Promise<Result<WorkerResponse, WorkerCallError>>;
	disconnect(worker: WorkerTarget): void;
};

export type AdviceClient = {
	/** Tickets by worker; workers without one may not run the step. */
	advise(options: {readonly step: string; readonly workers: readonly string[]}): Promise<Result<{readonly tickets: ReadonlyMap<string, string>; readonly validMilliseconds: number}, WorkerCallError>>;
};

/** Limits that an instance applies to callers and jobs, decoded from the platform's configuration. */
export type Configuration = Policies & {
	readonly version: number;
	readonly queuesByHost: ReadonlyMap<string, ReadonlyArray<{readonly prefix: string; readonly queue: string; readonly isPublic: boolean; readonly timeoutMilliseconds: number}>>;
	readonly workspaceByApiKey: ReadonlyMap<string, string>;
	readonly maximumBodyBytes: number;
};

/** Where the platform keeps what operators and workers write, and how it is read. */
export type PlatformRecordCodec = {
	readonly configurationKey: string;
	readonly workerPrefix: string;
	readonly wavePrefix: string;
	decodeConfiguration(entry: StoredEntry): Configuration | undefined;
	/** Undefined for an entry that names no usable worker. */
	decodeWorker(entry: StoredEntry): WorkerRegistration | undefined;
	/** Undefined for an entry that cannot be read. */
	decodeWave(entry: StoredEntry): WaveRequest | undefined;
	encodeWaveStatus(options: {readonly wave: number; readonly isCompleted: boolean}): {readonly key: string; readonly value: string};
};

export type WaveRequest = {
	readonly wave: number;
	readonly machines: readonly string[];
	/** Time in which all machines should have had their upkeep, from the request. */
	readonly withinMilliseconds: number;
	readonly maximumAtOnce: number;
};

export enum MachineState {
	Up = 'up',
	Moving = 'moving',
	Maintenance = 'upkeep',
	Down = 'down',
}

export type MachineRecord = {
	readonly machine: string;
	readonly pool: string;
	readonly state: MachineState;
	/** Undefined while no worker runs on it. */
	readonly worker: string | undefined;
	readonly labels: readonly string[];
	readonly cpuMillis: number;
};

export type MachineOutcome = 'accepted' | 'fenced' | 'busy' | 'foreign' | 'invalid' | 'unknown' | 'refused';

export type MachineClient = {
	/** All machines; undefined if the service could not be read whole. */
	list(): Promise<readonly MachineRecord[] | undefined>;
	move(options: {readonly machine: string; readonly pool: string; readonly holder: string; readonly fencingToken: number}): Promise<MachineOutcome>;
	startMaintenance(options: {readonly machine: string; readonly wave: number; readonly holder: string; readonly fencingToken: number}): Promise<MachineOutcome>;
};

export {type Ticket} from '@turmericbay/scheduler';
