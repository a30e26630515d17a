/** The workers of the owner: from the platform's list and from former owners' records, each with a session. */
import type {
	RunRow, Scheduler, WorkerRegistration, WorkerRow,
} from '@turmericbay/scheduler';
import {computeLatestLeaseExpiry} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';
import type {OwnerLog} from './owner-log.js';
import {ownerLeaseMilliseconds} from './ownership.js';
import type {Clock, PlatformRecordCodec, WorkerClient} from './ports.js';
import {idFromKey} from './records.js';
import type {RunRecords} from './run-records.js';
import type {WorkerSession} from './worker-session.js';

/**
 * The owner extends leases for this long after its last renewal, so that running work outlives an
 * outage of the store. A successor counts on it for workers that it cannot reach: it takes over a
 * lease of the owner's key later at the earliest.
 */
export const leaseExtensionMilliseconds = 4000;
/** After it has given the ownership up, the owner extends leases for this long, until its successor does; no longer than a successor expects. */
export const handoverExtensionMilliseconds = leaseExtensionMilliseconds - ownerLeaseMilliseconds - 300;

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
	/** Workers on which something of a former owner may run. */
	const previouslyUsed = new Set<string>();
	let previousSegments: ReturnType<RunRecords['restore']> = [];
	/** Lives of workers that were ended for a machine's sake; their entries stay in the list for a while. */
	const retiredIncarnations = new Map<string, number | undefined>();
	/** Until then a worker that does not answer may run what a former owner has started. */
	const restoredLapsesBy = computeLatestLeaseExpiry({now: tookOverAt + leaseExtensionMilliseconds - ownerLeaseMilliseconds, leaseMilliseconds: workerLeaseMilliseconds});

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

	const report = (entry: WorkerRegistration, isRestored: boolean): void => {
		if (retiredIncarnations.has(entry.id) && retiredIncarnations.get(entry.id) === entry.incarnation) {
			return;
		}

		const isKnown = scheduler.workers.has(entry.id);
		openSession(scheduler.registerWorker({
			registration: entry, isRegistered: true, isReconciled: !isRestored, latestLeaseExpiry: isRestored ? restoredLapsesBy : Number.NEGATIVE_INFINITY,
		}));
		if (!isKnown) {
			onChange();
		}
	};

	const markUnlisted = (ids: Iterable<string>): void => {
		for (const id of ids) {
			const worker = scheduler.workers.get(id);
			if (worker) {
				worker.isRegistered = false;
			}
		}

		onChange();
	};

	/** The life has ended; nothing of it runs. */
	const drop = (worker: WorkerRow): void => {
		scheduler.markWorkerLost(worker);
		remove(worker);
		onChange();
	};

	return {
		getSession: (worker: WorkerRow): WorkerSession | undefined => sessions.get(worker.registration.id),
		drop,
		/** The platform has ended the life for its machine's sake. */
		retire(worker: WorkerRow): void {
			retiredIncarnations.set(worker.registration.id, worker.incarnation);
			drop(worker);
		},
		/** Workers that former owners' records name, before the platform's list is taken over. */
		restore(entries: readonly StoredEntry[]): void {
			previousSegments = runRecords.restore(entries);
			for (const {worker: {id, address, pool, bornAt}} of previousSegments.flatMap(({segment}) => segment)) {
				previouslyUsed.add(id);
				if (!scheduler.workers.has(id)) {
					openSession(scheduler.registerWorker({
						registration: {
							id, address, pool, incarnation: bornAt, zone: '', draining: true, capacity: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0}, labels: [],
						},
						isRegistered: false, isReconciled: false, latestLeaseExpiry: restoredLapsesBy,
					}));
				}
			}
		},
		/** Enters what former owners may have started, once the jobs are known. */
		restoreRuns(now: number): void {
			for (const {key, segment} of previousSegments) {
				const rows: RunRow[] = [];
				for (const {worker: {id, bornAt}, runs} of segment) {
					const worker = scheduler.workers.get(id);
					for (const [task, run] of worker?.incarnation === bornAt ? runs : []) {
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
		/** Takes over entries of the platform's list. */
		applyEntries(entries: readonly StoredEntry[], isFirst: boolean): void {
			for (const entry of entries) {
				const decoded = recordCodec.decodeWorker(entry);
				if (decoded) {
					report(decoded, isFirst && previouslyUsed.has(decoded.id));
				} else {
					markUnlisted([idFromKey(entry.key)]);
					log.recordUnreadable(entry.key);
				}
			}
		},
		markUnlisted,
		/** The list is whole: workers that it does not name have left it. */
		markMissingUnlisted(entries: readonly StoredEntry[]): void {
			const present = new Set(entries.map(entry => idFromKey(entry.key)));
			markUnlisted([...scheduler.workers.keys()].filter(id => !present.has(id)));
		},
		tick(now: number): void {
			for (const worker of scheduler.workers.values()) {
				// Left the list, and its leases have ended.
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
