/**
 * One life of a worker: what it starts, refuses, lists and ends. Times that are
 * passed in are steady milliseconds of the simulation; leases and answers are on
 * the worker's own clock, which may be slow.
 */
import type {EndedEntry, Resources, RunReport} from '@turmericbay/scheduler';
import {EndReason} from '@turmericbay/scheduler';
import type {StartAnswer, TaskWork, WorkerModelOptions} from './worker-types.js';

/** Most ends in one list (the users' protocol page). */
const endsPerList = 500;
/** A long-running task is at work this long after its start, milliseconds. */
const startupMilliseconds = 300;

type Run = {
	readonly task: string;
	readonly run: number;
	readonly work: TaskWork;
	/** Undefined while the other members of a gang are missing. */
	workingSince: number | undefined;
	/** Milliseconds of work done before `workingSince`. */
	done: number;
	stopsAt: number | undefined;
	/** The gang is given up then. */
	readonly aloneAt: number;
	pacePercent: number;
};

export type WorkerModel = ReturnType<typeof createWorkerModel>;

const nameOf = (task: string, run: number): string => `${task}#${run}`;
const groupOf = (task: string, run: number): string => nameOf(task.slice(0, task.lastIndexOf('.')), run);

/** Checkpoints name the work that they stand for, so that one of another task is told. */
export const formatCheckpoint = (task: string, milliseconds: number): string => `${task.split('.', 1)[0]!}-${Math.round(milliseconds)}`;
const readCheckpoint = (checkpoint: string): number => Number(checkpoint.slice(checkpoint.lastIndexOf('-') + 1)) || 0;

export const createWorkerModel = (options: WorkerModelOptions) => {
	const {incarnation, capacity, enforcesCapacity, startedAt, clockRate, gangs, createWork, observe} = options;
	const runs = new Map<string, Run>();
	/** Highest run that was stopped or has ended here, by task. */
	const barred = new Map<string, number>();
	let ended: EndedEntry[] = [];
	let endCount = 0;
	let fence = 0;
	let leaseUntil = 0;
	let isLapseSeen = true;
	/** 1 is usual; less is slow, 0 stands still. */
	let speed = 1;
	let failsAll = false;

	const clockAt = (now: number): number => Math.round((now - startedAt) * clockRate);
	const steadyAt = (clock: number): number => startedAt + (clock / clockRate);
	const workDone = (row: Run, now: number): number =>
		row.done + (row.workingSince === undefined ? 0 : Math.max(0, now - row.workingSince) * speed * row.pacePercent / 100);

	const checkpointOf = (row: Run, now: number, isStop = false): string => {
		const done = workDone(row, now);
		const kept = isStop ? done : Math.floor(done / options.checkpointMilliseconds) * options.checkpointMilliseconds;
		return row.work.checkpointing && kept > 0 ? formatCheckpoint(row.task, kept) : '';
	};

	const finish = (row: Run, reason: EndReason, now: number): void => {
		const name = nameOf(row.task, row.run);
		if (!runs.delete(name)) {
			return;
		}

		barred.set(row.task, Math.max(barred.get(row.task) ?? 0, row.run));
		endCount += 1;
		ended.push({
			sequence: endCount, task: row.task, run: row.run, reason, checkpoint: reason === EndReason.Done ? '' : checkpointOf(row, now, reason === EndReason.Stopped),
		});
		observe({
			type: 'ended', task: row.task, run: row.run, reason,
		}, now);
		if (row.work.gangSize !== undefined) {
			gangs.leave({
				group: groupOf(row.task, row.run), task: row.task, reason, now,
			});
		}
	};

	const completionOf = (row: Run): number => {
		if (row.workingSince === undefined || row.work.longRunning || speed * row.pacePercent === 0) {
			return Number.POSITIVE_INFINITY;
		}

		return row.workingSince + ((row.work.milliseconds - row.done) / (speed * row.pacePercent / 100));
	};

	const endOf = (row: Run): number => Math.min(row.stopsAt ?? Number.POSITIVE_INFINITY, completionOf(row), row.workingSince === undefined ? row.aloneAt : Number.POSITIVE_INFINITY);

	const noteLapse = (now: number): void => {
		if (!isLapseSeen && steadyAt(leaseUntil) <= now) {
			isLapseSeen = true;
			observe({type: 'lapsed'}, now);
		}
	};

	/** Ends what has ended by `now`, in the order of time. */
	const advance = (now: number): void => {
		endRuns(now);
		noteLapse(now);
	};

	const endRuns = (now: number): void => {
		for (;;) {
			const lapse = runs.size === 0 ? Number.POSITIVE_INFINITY : steadyAt(leaseUntil);
			const [next] = [...runs.values()].toSorted((left, right) => endOf(left) - endOf(right));
			const at = Math.min(lapse, next === undefined ? Number.POSITIVE_INFINITY : endOf(next));
			if (next === undefined || at > now) {
				return;
			}

			if (lapse <= endOf(next)) {
				for (const row of runs.values()) {
					finish(row, EndReason.LeaseExpired, lapse);
				}
			} else if (next.stopsAt !== undefined && next.stopsAt <= at) {
				finish(next, EndReason.Stopped, at);
			} else if (next.workingSince === undefined) {
				finish(next, EndReason.GangTimeout, at);
			} else {
				finish(next, failsAll ? EndReason.Failed : next.work.outcome, at);
			}
		}
	};

	const roomLeft = (): Resources => {
		let {cpuMillis, memoryMegabytes, accelerators} = capacity;
		for (const {work} of runs.values()) {
			cpuMillis -= work.fills ? 0 : work.resources.cpuMillis;
			memoryMegabytes -= work.resources.memoryMegabytes;
			accelerators -= work.resources.accelerators;
		}

		return {cpuMillis, memoryMegabytes, accelerators};
	};

	const fitsIn = (work: TaskWork): boolean => {
		const room = roomLeft();
		return (work.fills || room.cpuMillis >= work.resources.cpuMillis)
			&& room.memoryMegabytes >= work.resources.memoryMegabytes && room.accelerators >= work.resources.accelerators;
	};

	const takeFence = (token: number): boolean => {
		if (token < fence) {
			return false;
		}

		fence = token;
		return true;
	};

	const extend = (until: number, now: number): void => {
		leaseUntil = Math.max(leaseUntil, Math.min(until, clockAt(now) + options.longestLeaseMilliseconds));
		isLapseSeen = leaseUntil <= clockAt(now);
	};

	const rebase = (row: Run, now: number): void => {
		row.done = workDone(row, now);
		row.workingSince = row.workingSince === undefined ? undefined : now;
	};

	const begin = (call: {readonly task: string; readonly run: number; readonly checkpoint: string; readonly fencingToken: number}, now: number): void => {
		const {task, run, checkpoint, fencingToken} = call;
		const work = createWork(task, run);
		const isGang = work.gangSize !== undefined;
		const saved = readCheckpoint(checkpoint);
		const row: Run = {
			task, run, work, workingSince: isGang ? undefined : now, done: saved > 0 ? saved - options.restoreMilliseconds : 0,
			stopsAt: undefined, aloneAt: now + options.gangTimeoutMilliseconds, pacePercent: 100,
		};
		runs.set(nameOf(task, run), row);
		observe({
			type: 'started', task, run, checkpoint, fencingToken,
		}, now);
		if (work.gangSize !== undefined) {
			gangs.join({
				group: groupOf(task, run), size: work.gangSize, task, now, member: {
					begin(at) {
						row.workingSince = at;
					},
					end(reason, at) {
						finish(row, reason, at);
					},
				},
			});
		}
	};

	return {
		incarnation,
		clockAt,
		advance,
		/** Steady time of the next end; infinite if none is due. */
		nextEventAt(): number {
			const lapse = runs.size === 0 ? Number.POSITIVE_INFINITY : steadyAt(leaseUntil);
			return Math.min(lapse, ...[...runs.values()].map(row => endOf(row)));
		},
		start(call: {readonly task: string; readonly run: number; readonly leaseExpiresAt: number; readonly fencingToken: number; readonly checkpoint: string}, now: number): StartAnswer {
			advance(now);
			if (!takeFence(call.fencingToken)) {
				return 'fenced';
			}

			extend(call.leaseExpiresAt, now);
			if (runs.has(nameOf(call.task, call.run))) {
				return 'started';
			}

			if (call.run <= (barred.get(call.task) ?? 0)) {
				return 'superseded';
			}

			if (call.leaseExpiresAt <= clockAt(now)) {
				return 'late';
			}

			if (enforcesCapacity && !fitsIn(createWork(call.task, call.run))) {
				return 'room';
			}

			begin(call, now);
			return 'started';
		},
		/** False if the caller is fenced. */
		stop(call: {readonly task: string; readonly run: number; readonly fencingToken: number}, now: number): boolean {
			advance(now);
			if (!takeFence(call.fencingToken)) {
				return false;
			}

			barred.set(call.task, Math.max(barred.get(call.task) ?? 0, call.run));
			const row = runs.get(nameOf(call.task, call.run));
			if (row) {
				row.stopsAt ??= now + options.stopMilliseconds;
			}

			return true;
		},
		/** False if the caller is fenced. */
		throttle(call: {readonly task: string; readonly run: number; readonly percent: number; readonly fencingToken: number}, now: number): boolean {
			advance(now);
			if (!takeFence(call.fencingToken)) {
				return false;
			}

			const row = runs.get(nameOf(call.task, call.run));
			if (row) {
				rebase(row, now);
				row.pacePercent = call.percent;
			}

			return true;
		},
		/** Extends the lease, forgets acknowledged ends and lists the rest; undefined if the caller is fenced. */
		heartbeat(call: {readonly fencingToken: number; readonly acknowledgedSequence: number; readonly leaseExpiresAt: number | undefined}, now: number): RunReport | undefined {
			advance(now);
			if (!takeFence(call.fencingToken)) {
				return undefined;
			}

			if (call.leaseExpiresAt !== undefined) {
				extend(call.leaseExpiresAt, now);
			}

			for (const {sequence, task, run, reason} of ended) {
				if (sequence <= call.acknowledgedSequence) {
					observe({
						type: 'acknowledged', task, run, reason,
					}, now);
				}
			}

			ended = ended.filter(entry => entry.sequence > call.acknowledgedSequence);
			return {
				incarnation, ended: ended.slice(0, endsPerList), partial: ended.length > endsPerList,
				running: [...runs.values()].map(row => {
					const done = workDone(row, now);
					const percent = row.work.longRunning ? (done >= startupMilliseconds ? 100 : 0) : Math.floor(100 * done / Math.max(1, row.work.milliseconds));
					return {
						task: row.task, run: row.run, checkpoint: checkpointOf(row, now), percent: Math.min(100, percent),
						measured: row.work.longRunning ? 0 : row.work.resources.cpuMillis,
					};
				}),
			};
		},
		hasUnacknowledgedEnds: (acknowledgedSequence: number): boolean => ended.some(entry => entry.sequence > acknowledgedSequence),
		/** 1 is usual, 0 stands still. */
		setSpeed(next: number, now: number): void {
			advance(now);
			for (const row of runs.values()) {
				rebase(row, now);
			}

			speed = next;
		},
		setFailing(isFailing: boolean): void {
			failsAll = isFailing;
		},
		/** The life ends; what runs on it ends without being listed. */
		crash(now: number): void {
			advance(now);
			for (const row of runs.values()) {
				runs.delete(nameOf(row.task, row.run));
				observe({
					type: 'ended', task: row.task, run: row.run, reason: EndReason.LeaseExpired,
				}, now);
				if (row.work.gangSize !== undefined) {
					gangs.leave({
						group: groupOf(row.task, row.run), task: row.task, reason: EndReason.LeaseExpired, now,
					});
				}
			}
		},
		runningCount: () => runs.size,
		usedCpuMillis: () => capacity.cpuMillis - roomLeft().cpuMillis,
	};
};
