/** The workers that the owner uses, each with a session: those that the platform lists and those in the run records of previous owners. */
import type {
	RunRow, Scheduler, WorkerRegistration, WorkerRow,
} from '@turmericbay/scheduler';
import {computeLatestLeaseExpiry, isEarlierIncarnation} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';
import type {OwnerLog} from './owner-log.js';
import {ownerLeaseMilliseconds} from './ownership.js';
import type {Clock, PlatformRecordCodec, WorkerClient} from './ports.js';
import type {RecordedWorker} from './records.js';
import {idFromKey} from './records.js';
import type {RunRecords} from './run-records.js';
import type {WorkerSession} from './worker-session.js';

/**
 * The owner extends the leases of workers for this long after the last renewal of its own lease,
 * so that running tasks survive an outage of the store. A new owner relies on this bound for
 * workers that it cannot reach: it takes over `ownerLeaseMilliseconds` after that renewal at the
 * earliest, so the extensions end at most the difference later.
 */
export const leaseExtensionMilliseconds = 4000;
const handoverMarginMilliseconds = 300;
/** After a handover the previous owner extends leases until the new owner does. It stops a margin before the latest time that the new owner expects. */
export const handoverExtensionMilliseconds = leaseExtensionMilliseconds - ownerLeaseMilliseconds - handoverMarginMilliseconds;

/** The newest process of each worker. The records of a worker that has restarted may name several, in any order. */
const findNewestProcesses = (recorded: Iterable<RecordedWorker>): Map<string, RecordedWorker> => {
	const newest = new Map<string, RecordedWorker>();
	for (const worker of recorded) {
		const known = newest.get(worker.id);
		if (!known || (worker.bornAt ?? Number.NEGATIVE_INFINITY) > (known.bornAt ?? Number.NEGATIVE_INFINITY)) {
			newest.set(worker.id, worker);
		}
	}

	return newest;
};

export type OwnedWorkers = ReturnType<typeof createOwnedWorkers>;

export const createOwnedWorkers = (options: {
	readonly scheduler: Scheduler;
	readonly runRecords: RunRecords;
	readonly recordCodec: PlatformRecordCodec;
	readonly workerClient: WorkerClient;
	readonly clock: Clock;
	readonly tookOverAt: number;
	readonly workerLeaseMilliseconds: number;
	readonly createSession: (worker: WorkerRow) => WorkerSession;
	readonly onChange: () => void;
	readonly log: OwnerLog;
}) => {
	const {scheduler, runRecords, recordCodec, workerClient, clock, tookOverAt, workerLeaseMilliseconds, createSession, onChange, log} = options;
	const sessions = new Map<string, WorkerSession>();
	/** Workers on which runs of previous owners may be executing. */
	const previouslyUsed = new Set<string>();
	let previousSegments: ReturnType<RunRecords['restore']> = [];
	/** Incarnations of workers that the platform ended to move or maintain their machine. The platform lists them for a while longer. */
	const retiredIncarnations = new Map<string, number | undefined>();
	/** Latest expiry of leases that previous owners have granted. Until then an unreachable worker may execute their runs. */
	const restoredLeaseExpiry = computeLatestLeaseExpiry({now: tookOverAt + leaseExtensionMilliseconds - ownerLeaseMilliseconds, leaseMilliseconds: workerLeaseMilliseconds});

	const remove = (worker: WorkerRow): void => {
		const {id, address} = worker.registration;
		sessions.get(id)?.end();
		sessions.delete(id);
		scheduler.workers.delete(id);
		workerClient.disconnect({id, address});
	};

	const openSession = (worker: WorkerRow): void => {
		if (!sessions.has(worker.registration.id)) {
			sessions.set(worker.registration.id, createSession(worker));
		}
	};

	const applyRegistration = (entry: WorkerRegistration, isRestored: boolean): void => {
		if (retiredIncarnations.has(entry.id) && retiredIncarnations.get(entry.id) === entry.incarnation) {
			return;
		}

		const known = scheduler.workers.get(entry.id);
		const knownGeneration = known?.generation;
		openSession(scheduler.registerWorker({
			registration: entry, isRegistered: true, isReconciled: !isRestored, latestLeaseExpiry: isRestored ? restoredLeaseExpiry : Number.NEGATIVE_INFINITY,
		}));
		if (!known) {
			onChange();
		} else if (known.generation !== knownGeneration) {
			// The next process has to report before it can get leases.
			sessions.get(entry.id)?.wake();
		}
	};

	const markUnregistered = (ids: Iterable<string>): void => {
		for (const id of ids) {
			const worker = scheduler.workers.get(id);
			if (worker) {
				worker.isRegistered = false;
			}
		}

		onChange();
	};

	/** False once the worker has been removed, also if it is listed again. */
	const isCurrent = (worker: WorkerRow): boolean => scheduler.workers.get(worker.registration.id) === worker;

	/** Removes a worker whose process has ended; none of its runs is executing any more. */
	const removeLost = (worker: WorkerRow, isPlanned = false): void => {
		if (!isCurrent(worker)) {
			return;
		}

		scheduler.markWorkerLost(worker, isPlanned);
		remove(worker);
		onChange();
	};

	return {
		getSession: (worker: WorkerRow): WorkerSession | undefined => sessions.get(worker.registration.id),
		removeLost,
		/** Removes a worker whose process the platform has ended to move or maintain its machine. */
		retire(worker: WorkerRow): void {
			const {id} = worker.registration;
			const listed = scheduler.workers.get(id);
			if (listed && listed.incarnation !== worker.incarnation) {
				return;
			}

			retiredIncarnations.set(id, worker.incarnation);
			if (listed) {
				removeLost(listed, true);
			}
		},
		/** Adds the workers in the run records of previous owners. Called before the platform's list is applied. */
		restore(entries: readonly StoredEntry[]): void {
			previousSegments = runRecords.restore(entries);
			const recorded = previousSegments.flatMap(({segment}) => segment).map(({worker}) => worker);
			for (const {id, address, pool, bornAt} of findNewestProcesses(recorded).values()) {
				previouslyUsed.add(id);
				if (!scheduler.workers.has(id)) {
					openSession(scheduler.registerWorker({
						registration: {
							id, address, pool, incarnation: bornAt, zone: '', draining: true, capacity: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0}, labels: [], slowStartMilliseconds: 0,
						},
						isRegistered: false, isReconciled: false, latestLeaseExpiry: restoredLeaseExpiry,
					}));
				}
			}
		},
		/** Adds the runs that previous owners may have started. Called once the jobs are loaded. */
		restoreRuns(now: number): void {
			for (const {key, segment} of previousSegments) {
				const rows: RunRow[] = [];
				for (const {worker: {id, bornAt}, runs} of segment) {
					const worker = scheduler.workers.get(id);
					if (worker && isEarlierIncarnation(bornAt, worker)) {
						scheduler.recordPreviousRuns(worker, runs);
						continue;
					}

					for (const [task, run] of runs) {
						const row = worker && scheduler.restoreRun({
							worker, task, run, now,
						});
						if (row) {
							rows.push(row);
						}
					}
				}

				runRecords.adoptSegment(key, rows);
			}

			previousSegments = [];
		},
		/** Applies entries of the platform's list of workers. `isFirst` is set for the first list after the takeover. */
		applyEntries(entries: readonly StoredEntry[], isFirst: boolean): void {
			for (const entry of entries) {
				const decoded = recordCodec.decodeWorker(entry);
				if (decoded) {
					applyRegistration(decoded, isFirst && previouslyUsed.has(decoded.id));
				} else {
					markUnregistered([idFromKey(entry.key)]);
					log.recordUnreadable(entry.key);
				}
			}
		},
		markUnregistered,
		/** Marks the workers that are missing from a complete list. */
		markMissingUnregistered(entries: readonly StoredEntry[]): void {
			const present = new Set(entries.map(entry => idFromKey(entry.key)));
			markUnregistered([...scheduler.workers.keys()].filter(id => !present.has(id)));
		},
		tick(now: number): void {
			for (const worker of scheduler.workers.values()) {
				// Not listed any more, and all its leases have expired.
				if (!worker.isRegistered && worker.runs.size === 0 && worker.isReconciled && now >= worker.latestLeaseExpiry) {
					remove(worker);
				}
			}
		},
		end(): void {
			for (const session of sessions.values()) {
				session.end();
			}
		},
	};
};
