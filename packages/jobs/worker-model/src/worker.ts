/**
 * One incarnation of a worker: it starts, rejects, reports and ends runs. Times
 * that are passed in are milliseconds of simulation time; leases are on the
 * worker's own clock, which may run slow.
 */
import type {EndedEntry, Resources, RunReport} from '@turmericbay/scheduler';
import {EndReason} from '@turmericbay/scheduler';
import type {StartResponse, TaskWork, WorkerModelOptions} from './worker-types.js';

/** Limit on the ended runs in one report, as real workers have it. */
const maximumEndedRunsPerReport = 500;
/** A long-running task is ready this long after its start. */
const startupMilliseconds = 300;

type Run = {
	readonly task: string;
	readonly run: number;
	readonly work: TaskWork;
	/** Undefined while members of its gang are missing. */
	workingSince: number | undefined;
	/** Work done before `workingSince`. */
	doneMilliseconds: number;
	stopsAt: number | undefined;
	/** When the run ends if its gang is still incomplete. */
	readonly gangTimeoutAt: number;
	speedLimitPercent: number;
	isReady: boolean;
};

export type WorkerModel = ReturnType<typeof createWorkerModel>;

const formatKey = (task: string, run: number): string => `${task}#${run}`;
const formatGangKey = (task: string, run: number): string => formatKey(task.slice(0, task.lastIndexOf('.')), run);

/** A checkpoint names its job, so that the oracle detects one that belongs to another job. */
export const formatCheckpoint = (task: string, milliseconds: number): string => `${task.split('.', 1)[0]!}-${Math.round(milliseconds)}`;
const readCheckpoint = (checkpoint: string): number => Number(checkpoint.slice(checkpoint.lastIndexOf('-') + 1)) || 0;

export const createWorkerModel = (options: WorkerModelOptions) => {
	const {incarnation, capacity, enforcesCapacity, startedAt, clockRate, gangs, createWork, onEvent} = options;
	const runs = new Map<string, Run>();
	/** The highest run number that was stopped or has ended, by task; starts up to it are rejected. */
	const highestFinalRuns = new Map<string, number>();
	let ended: EndedEntry[] = [];
	let lastSequence = 0;
	let highestFencingToken = 0;
	let leaseExpiresAt = 0;
	let isExpiryReported = true;
	/** 1 is normal, 0 is stalled. */
	let speed = 1;
	let failsAllRuns = false;

	const readClock = (now: number): number => Math.round((now - startedAt) * clockRate);
	const toSimulationTime = (clock: number): number => startedAt + (clock / clockRate);
	const getWorkDone = (row: Run, now: number): number =>
		row.doneMilliseconds + (row.workingSince === undefined ? 0 : Math.max(0, now - row.workingSince) * speed * row.speedLimitPercent / 100);

	const createCheckpoint = (row: Run, now: number, isStop = false): string => {
		const done = getWorkDone(row, now);
		const savedMilliseconds = isStop ? done : Math.floor(done / options.checkpointIntervalMilliseconds) * options.checkpointIntervalMilliseconds;
		return row.work.checkpointing && savedMilliseconds > 0 ? formatCheckpoint(row.task, savedMilliseconds) : '';
	};

	const endRun = (row: Run, reason: EndReason, now: number): void => {
		const key = formatKey(row.task, row.run);
		if (!runs.delete(key)) {
			return;
		}

		highestFinalRuns.set(row.task, Math.max(highestFinalRuns.get(row.task) ?? 0, row.run));
		lastSequence += 1;
		ended.push({
			sequence: lastSequence, task: row.task, run: row.run, reason, checkpoint: reason === EndReason.Done ? '' : createCheckpoint(row, now, reason === EndReason.Stopped),
		});
		onEvent({
			type: 'ended', task: row.task, run: row.run, reason,
		}, now);
		if (row.work.gangSize !== undefined) {
			gangs.leave({
				group: formatGangKey(row.task, row.run), task: row.task, reason, now,
			});
		}
	};

	const getCompletionTime = (row: Run): number => {
		if (row.workingSince === undefined || row.work.longRunning || speed * row.speedLimitPercent === 0) {
			return Number.POSITIVE_INFINITY;
		}

		return row.workingSince + ((row.work.durationMilliseconds - row.doneMilliseconds) / (speed * row.speedLimitPercent / 100));
	};

	const getEndTime = (row: Run): number => Math.min(row.stopsAt ?? Number.POSITIVE_INFINITY, getCompletionTime(row), row.workingSince === undefined ? row.gangTimeoutAt : Number.POSITIVE_INFINITY);

	const reportLeaseExpiry = (now: number): void => {
		if (!isExpiryReported && toSimulationTime(leaseExpiresAt) <= now) {
			isExpiryReported = true;
			onEvent({type: 'lease-expired'}, now);
		}
	};

	const isStarted = (row: Run, now: number): boolean => getWorkDone(row, now) >= startupMilliseconds;

	const reportReadyRuns = (now: number): void => {
		for (const row of runs.values()) {
			if (row.work.longRunning && !row.isReady && isStarted(row, now)) {
				row.isReady = true;
				onEvent({type: 'ready', task: row.task, run: row.run}, now);
			}
		}
	};

	const reportDisplaced = ({task, run}: Run, isDelayed: boolean, now: number): void => {
		onEvent({
			type: 'displaced', task, run, isDelayed,
		}, now);
	};

	/** Ends all runs that are due by `now`, in chronological order. */
	const advance = (now: number): void => {
		endDueRuns(now);
		reportReadyRuns(now);
		reportLeaseExpiry(now);
	};

	const endProcess = (now: number): void => {
		for (const row of runs.values()) {
			runs.delete(formatKey(row.task, row.run));
			onEvent({
				type: 'ended', task: row.task, run: row.run, reason: EndReason.LeaseExpired,
			}, now);
			if (row.work.gangSize !== undefined) {
				gangs.leave({
					group: formatGangKey(row.task, row.run), task: row.task, reason: EndReason.LeaseExpired, now,
				});
			}
		}
	};

	const endDueRuns = (now: number): void => {
		for (;;) {
			const expiry = runs.size === 0 ? Number.POSITIVE_INFINITY : toSimulationTime(leaseExpiresAt);
			const [next] = [...runs.values()].toSorted((left, right) => getEndTime(left) - getEndTime(right));
			const at = Math.min(expiry, next === undefined ? Number.POSITIVE_INFINITY : getEndTime(next));
			if (next === undefined || at > now) {
				return;
			}

			if (expiry <= getEndTime(next)) {
				for (const row of runs.values()) {
					endRun(row, EndReason.LeaseExpired, expiry);
				}
			} else if (next.stopsAt !== undefined && next.stopsAt <= at) {
				endRun(next, EndReason.Stopped, at);
			} else if (next.workingSince === undefined) {
				endRun(next, EndReason.GangTimeout, at);
			} else if (failsAllRuns) {
				endRun(next, EndReason.Failed, at);
			} else if (next.work.outcome === 'worker-crash') {
				onEvent({type: 'crashed', task: next.task, run: next.run}, at);
				endProcess(at);
			} else {
				endRun(next, next.work.outcome, at);
			}
		}
	};

	const getFreeCapacity = (): Resources => {
		let {cpuMillis, memoryMegabytes, accelerators} = capacity;
		for (const {work} of runs.values()) {
			cpuMillis -= work.bestEffort ? 0 : work.resources.cpuMillis;
			memoryMegabytes -= work.resources.memoryMegabytes;
			accelerators -= work.resources.accelerators;
		}

		return {cpuMillis, memoryMegabytes, accelerators};
	};

	const hasCapacityFor = (work: TaskWork): boolean => {
		const free = getFreeCapacity();
		return (work.bestEffort || free.cpuMillis >= work.resources.cpuMillis)
			&& free.memoryMegabytes >= work.resources.memoryMegabytes && free.accelerators >= work.resources.accelerators;
	};

	const acceptFencingToken = (token: number): boolean => {
		if (token < highestFencingToken) {
			return false;
		}

		highestFencingToken = token;
		return true;
	};

	const extendLease = (expiresAt: number, now: number): void => {
		leaseExpiresAt = Math.max(leaseExpiresAt, Math.min(expiresAt, readClock(now) + options.maximumLeaseMilliseconds));
		isExpiryReported = leaseExpiresAt <= readClock(now);
	};

	const accumulateWork = (row: Run, now: number): void => {
		row.doneMilliseconds = getWorkDone(row, now);
		row.workingSince = row.workingSince === undefined ? undefined : now;
	};

	const startRun = (call: {readonly task: string; readonly run: number; readonly checkpoint: string; readonly fencingToken: number}, now: number): void => {
		const {task, run, checkpoint, fencingToken} = call;
		const work = createWork(task, run);
		const isGang = work.gangSize !== undefined;
		const restoredMilliseconds = readCheckpoint(checkpoint);
		const row: Run = {
			task, run, work, workingSince: isGang ? undefined : now, doneMilliseconds: restoredMilliseconds > 0 ? restoredMilliseconds - options.restoreCostMilliseconds : 0,
			stopsAt: undefined, gangTimeoutAt: now + options.gangTimeoutMilliseconds, speedLimitPercent: 100, isReady: false,
		};
		runs.set(formatKey(task, run), row);
		onEvent({
			type: 'started', task, run, checkpoint, fencingToken,
		}, now);
		if (work.gangSize !== undefined) {
			gangs.join({
				group: formatGangKey(task, run), size: work.gangSize, task, now, member: {
					begin(at) {
						row.workingSince = at;
					},
					end(reason, at) {
						endRun(row, reason, at);
					},
				},
			});
		}
	};

	return {
		incarnation,
		readClock,
		advance,
		/** Time of the next event; infinite if there is none. */
		getNextEventTime(): number {
			const expiry = runs.size === 0 ? Number.POSITIVE_INFINITY : toSimulationTime(leaseExpiresAt);
			return Math.min(expiry, ...[...runs.values()].map(row => getEndTime(row)));
		},
		start(call: {readonly task: string; readonly run: number; readonly leaseExpiresAt: number; readonly fencingToken: number; readonly checkpoint: string}, now: number): StartResponse {
			advance(now);
			if (!acceptFencingToken(call.fencingToken)) {
				return 'fenced';
			}

			extendLease(call.leaseExpiresAt, now);
			if (runs.has(formatKey(call.task, call.run))) {
				return 'started';
			}

			if (call.run <= (highestFinalRuns.get(call.task) ?? 0)) {
				return 'superseded';
			}

			if (call.leaseExpiresAt <= readClock(now)) {
				return 'late';
			}

			if (enforcesCapacity && !hasCapacityFor(createWork(call.task, call.run))) {
				return 'room';
			}

			startRun(call, now);
			return 'started';
		},
		/** Returns false if the caller's fencing token is outdated. */
		stop(call: {readonly task: string; readonly run: number; readonly fencingToken: number; readonly isDelayed?: boolean}, now: number): boolean {
			advance(now);
			if (!acceptFencingToken(call.fencingToken)) {
				return false;
			}

			highestFinalRuns.set(call.task, Math.max(highestFinalRuns.get(call.task) ?? 0, call.run));
			const row = runs.get(formatKey(call.task, call.run));
			if (row && row.stopsAt === undefined) {
				row.stopsAt = now + options.stopDurationMilliseconds;
				reportDisplaced(row, call.isDelayed ?? false, now);
			}

			return true;
		},
		/** Returns false if the caller's fencing token is outdated. */
		throttle(call: {readonly task: string; readonly run: number; readonly percent: number; readonly fencingToken: number}, now: number): boolean {
			advance(now);
			if (!acceptFencingToken(call.fencingToken)) {
				return false;
			}

			const row = runs.get(formatKey(call.task, call.run));
			if (row) {
				accumulateWork(row, now);
				row.speedLimitPercent = call.percent;
			}

			return true;
		},
		/** Extends the lease, removes acknowledged ended runs and reports all others; undefined if the caller's fencing token is outdated. */
		heartbeat(call: {readonly fencingToken: number; readonly acknowledgedSequence: number; readonly leaseExpiresAt: number | undefined}, now: number): RunReport | undefined {
			advance(now);
			if (!acceptFencingToken(call.fencingToken)) {
				return undefined;
			}

			if (call.leaseExpiresAt !== undefined) {
				extendLease(call.leaseExpiresAt, now);
			}

			for (const {sequence, task, run, reason} of ended) {
				if (sequence <= call.acknowledgedSequence) {
					onEvent({
						type: 'acknowledged', task, run, reason,
					}, now);
				}
			}

			ended = ended.filter(entry => entry.sequence > call.acknowledgedSequence);
			return {
				incarnation, ended: ended.slice(0, maximumEndedRunsPerReport), hasMoreEnded: ended.length > maximumEndedRunsPerReport,
				running: [...runs.values()].map(row => {
					const done = getWorkDone(row, now);
					const percent = row.work.longRunning ? (isStarted(row, now) ? 100 : 0) : Math.floor(100 * done / Math.max(1, row.work.durationMilliseconds));
					return {
						task: row.task, run: row.run, checkpoint: createCheckpoint(row, now), percent: Math.min(100, percent),
						latencyOrCpuUsage: row.work.longRunning ? 0 : row.work.resources.cpuMillis,
					};
				}),
			};
		},
		hasUnacknowledgedEnds: (acknowledgedSequence: number): boolean => ended.some(entry => entry.sequence > acknowledgedSequence),
		/** 1 is normal, 0 stalls all runs. */
		setSpeed(next: number, now: number): void {
			advance(now);
			for (const row of runs.values()) {
				accumulateWork(row, now);
			}

			speed = next;
		},
		setFailing(isFailing: boolean): void {
			failsAllRuns = isFailing;
		},
		/** Ends the worker process; its runs end without being reported. */
		crash(now: number): void {
			advance(now);
			endProcess(now);
		},
		/** Ends the worker process by an order for its machine. */
		terminate(isDelayed: boolean, now: number): void {
			advance(now);
			for (const row of runs.values()) {
				reportDisplaced(row, isDelayed, now);
			}

			endProcess(now);
		},
		countRunning: () => runs.size,
		getUsedCpuMillis: () => capacity.cpuMillis - getFreeCapacity().cpuMillis,
	};
};
