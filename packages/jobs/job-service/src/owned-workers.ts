/** The workers of the owner: from the platform's list and from former owners' records, each with a session. */
import type {
	RunRow, Scheduler, WorkerRegistration, WorkerRow,
} from '@turmericbay/scheduler';
import {computeLatestLeaseExpiry} from '@turmericbay/scheduler';
import type {StoredEntry} from '@turmericbay/types';
import type {OwnerLog} from './owner-log.js';
import {ownerLeaseMilliseconds} from './ownership.js';
import type {Clock, PlatformRecordCodec, WorkerClient} from './ports.js';
import {idOf} from './records.js';
import type {RunRecords} from './run-records.js';
import type {WorkerSession} from './worker-session.js';

/**
 * The owner extends leases for this long after its last renewal, so that running work outlives an
 * outage of the store. A successor counts on it for workers that it cannot reach: it takes over a
 * lease of the owner's key later at the earliest.
 */
export const extensionMilliseconds = 4000;
/** After it has given the ownership up, the owner extends leases for this long, until its successor does; no longer than a successor expects. */
export const handoverExtensionMilliseconds = extensionMilliseconds - ownerLeaseMilliseconds - 300;

export type OwnedWorkers = ReturnType<typeof createOwnedWorkers>;

export const createOwnedWorkers = (options: {
	readonly scheduler: Scheduler;
	readonly runRecords: RunRecords;
	readonly records: PlatformRecordCodec;
	readonly client: WorkerClient;
	readonly clock: Clock;
	readonly tookOverAt: number;
	readonly leaseMilliseconds: number;
	readonly createSession: (worker: WorkerRow) => WorkerSession;
	readonly onChange: () => void;
	readonly log: OwnerLog;
}) => {
	const {scheduler, runRecords, records, client, clock, tookOverAt, leaseMilliseconds, createSession, onChange, log} = options;
	const sessions = new Map<string, WorkerSession>();
	/** Workers on which something of a former owner may run. */
	const formerlyUsed = new Set<string>();
	let formerSegments: ReturnType<RunRecords['restore']> = [];
	/** Lives of workers that were ended for a machine's sake; their entries stay in the list for a while. */
	const retired = new Map<string, number | undefined>();
	/** Until then a worker that does not answer may run what a former owner has started. */
	const restoredLapse = computeLatestLeaseExpiry({now: tookOverAt + extensionMilliseconds - ownerLeaseMilliseconds, leaseMilliseconds});

	const remove = (worker: WorkerRow): void => {
		const {id, address} = worker.registration;
		sessions.get(id)?.end();
		sessions.delete(id);
		scheduler.workers.delete(id);
		client.disconnect({id, address});
	};

	const openSession = (worker: WorkerRow): void => {
		if (!sessions.has(worker.registration.id)) {
			sessions.set(worker.registration.id, createSession(worker));
		}
	};

	const report = (entry: WorkerRegistration, isRestored: boolean): void => {
		if (retired.has(entry.id) && retired.get(entry.id) === entry.incarnation) {
			return;
		}

		const isKnown = scheduler.workers.has(entry.id);
		openSession(scheduler.registerWorker({
			registration: entry, isRegistered: true, isReconciled: !isRestored, latestLeaseExpiry: isRestored ? restoredLapse : Number.NEGATIVE_INFINITY,
		}));
		if (!isKnown) {
			onChange();
		}
	};

	const unlist = (ids: Iterable<string>): void => {
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
		sessionOf: (worker: WorkerRow): WorkerSession | undefined => sessions.get(worker.registration.id),
		drop,
		/** The platform has ended the life for its machine's sake. */
		retire(worker: WorkerRow): void {
			retired.set(worker.registration.id, worker.incarnation);
			drop(worker);
		},
		/** Workers that former owners' records name, before the platform's list is taken over. */
		restore(entries: readonly StoredEntry[]): void {
			formerSegments = runRecords.restore(entries);
			for (const {worker: {id, address, pool, bornAt}} of formerSegments.flatMap(({segment}) => segment)) {
				formerlyUsed.add(id);
				if (!scheduler.workers.has(id)) {
					openSession(scheduler.registerWorker({
						registration: {
							id, address, pool, incarnation: bornAt, zone: '', draining: true, capacity: {cpuMillis: 0, memoryMegabytes: 0, accelerators: 0}, labels: [],
						},
						isRegistered: false, isReconciled: false, latestLeaseExpiry: restoredLapse,
					}));
				}
			}
		},
		/** Enters what former owners may have started, once the jobs are known. */
		restoreRuns(now: number): void {
			for (const {key, segment} of formerSegments) {
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

				runRecords.adopt(key, rows);
			}

			formerSegments = [];
		},
		/** Takes over entries of the platform's list. */
		applyEntries(entries: readonly StoredEntry[], isFirst: boolean): void {
			for (const entry of entries) {
				const decoded = records.decodeWorker(entry);
				if (decoded) {
					report(decoded, isFirst && formerlyUsed.has(decoded.id));
				} else {
					unlist([idOf(entry.key)]);
					log.recordUnreadable(entry.key);
				}
			}
		},
		unlist,
		/** The list is whole: workers that it does not name have left it. */
		unlistOthers(entries: readonly StoredEntry[]): void {
			const present = new Set(entries.map(entry => idOf(entry.key)));
			unlist([...scheduler.workers.keys()].filter(id => !present.has(id)));
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
