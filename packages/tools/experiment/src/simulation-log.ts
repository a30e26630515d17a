/** Formats the log of simulated instances as text lines. */
import type {ServiceLog} from '@turmericbay/job-service';

export const createSimulationLog = (lines: string[], now: () => number, instance: string): ServiceLog => {
	const write = (what: string, detail: unknown = ''): void => {
		lines.push(`${(now() / 1000).toFixed(3)} ${instance} ${what} ${typeof detail === 'string' ? detail : JSON.stringify(detail)}`);
	};

	return {
		jobRefused({id}, refusal) {
			write('refused', {job: id, ...refusal});
		},
		refusalNotRecorded(job, message) {
			write('refusal-not-recorded', `${job} ${message}`);
		},
		schedulerEvent(event) {
			write('scheduler', event);
		},
		startAttempted(order, outcome) {
			write('start', {
				task: order.row.task.name, run: order.row.run, worker: order.row.worker.registration.id, outcome,
			});
		},
		stopAttempted({task, run, worker}, outcome, milliseconds) {
			write('stop', {
				task, run, worker: worker.registration.id, outcome, milliseconds: Math.round(milliseconds),
			});
		},
		workerCallFailed(worker, message) {
			write('worker-lost', `${worker.registration.id} ${message}`);
		},
		workerRecovered(worker) {
			write('worker-regained', worker.registration.id);
		},
		jobFinished(job) {
			write('job-finished', `${job.declaration.id} ${job.state}`);
		},
		storeCallFailed: write,
		ownerDelayed(milliseconds) {
			write('owner-delayed', String(milliseconds));
		},
		jobsLoaded(summary) {
			write('loaded', summary);
		},
		evacuationsMeasured() {
			// Figures for metrics; the scheduler's events tell the same.
		},
		waveProgressed(wave, machine, outcome) {
			write('wave', `${wave} ${machine ?? ''} ${outcome}`);
		},
		moveAttempted(move, outcome) {
			write('move', {...move, outcome});
		},
		recordUnreadable(key) {
			write('unreadable', key);
		},
		dispatcherGained(name) {
			write('dispatcher-gained', name);
		},
		dispatcherLost(name, reason) {
			write('dispatcher-lost', `${name} ${reason}`);
		},
		workerCallsCounted: () => undefined,
		dispatchersCounted: () => undefined,
		dispatchEnded(reason) {
			write('dispatch-ended', reason);
		},
		progressTooLarge(job, bytes, outcome) {
			write('progress-too-large', `${job.declaration.id} ${bytes} ${outcome}`);
		},
		changesNotStored(epoch, changes) {
			write('changes-not-stored', {epoch, changes});
		},
		ownershipGained(epoch) {
			write('ownership-gained', String(epoch));
		},
		ownershipLost(epoch, reason) {
			write('ownership-lost', `${epoch} ${reason}`);
		},
		ownerChanged(owner) {
			write('owner-seen', owner?.instance ?? 'none');
		},
		electionFailed(outcome) {
			write('election-failed', outcome);
		},
		ownerMissing(milliseconds, waitsFor) {
			write('owner-missing', {milliseconds, waitsFor});
		},
		configurationApplied(version) {
			write('configuration', String(version));
		},
		configurationUnreadable(key) {
			write('configuration-unreadable', key);
		},
		peerCallFailed(address, message) {
			write('peer-trouble', `${address} ${message}`);
		},
	};
};
