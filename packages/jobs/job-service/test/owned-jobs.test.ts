import {captureProgress, JobState} from '@turmericbay/scheduler';
import type {JobProgress} from '@turmericbay/scheduler';
import test from 'ava';
import type {CommitQueue} from '../src/commit-queue.js';
import {createOwnedJobs} from '../src/owned-jobs.js';
import type {OwnerLog} from '../src/owner-log.js';
import {progressPrefix, resultPrefix} from '../src/records.js';
import {createDeclaration, createSchedulerWithWorker} from './support/builders.js';
import {createMemoryStore} from './support/memory-store.js';

const maximumValueBytes = 10_000;

const createFixture = () => {
	const {scheduler} = createSchedulerWithWorker(1);
	const stored = new Map<string, string>();
	const reported: string[] = [];
	const commitQueue: Pick<CommitQueue, 'commit' | 'flush'> = {
		async commit(operations) {
			for (const operation of operations) {
				if (operation.type === 'put') {
					stored.set(operation.key, operation.value);
				} else if (operation.type === 'delete') {
					stored.delete(operation.key);
				}
			}
		},
		flush: async () => undefined,
	};
	const log: Partial<OwnerLog> = {
		jobFinished: () => undefined,
		progressTooLarge({declaration: {id}}, _, outcome) {
			reported.push(`${id}: ${outcome}`);
		},
	};
	const jobs = createOwnedJobs({
		store: createMemoryStore().store, maximumValueBytes, scheduler, clock: {now: () => 0, wallNow: () => 0}, onChange: () => undefined,
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used here.
		commitQueue: commitQueue as CommitQueue, log: log as OwnerLog,
	});
	const addJob = (id: string, taskCount: number) => {
		jobs.add(createDeclaration(id, taskCount), false);
		const job = scheduler.jobs.get(id)!;
		scheduler.changedJobs.add(job);
		return job;
	};

	return {
		jobs, scheduler, stored, reported, addJob,
	};
};

// Guards against one job whose progress the store never takes: no change of any job was stored any more.
for (const checkpointLength of [100, 5000]) {
	test(`a progress that is too large because of checkpoints of ${checkpointLength} characters is stored without them`, async t => {
		const {jobs, stored, reported, addJob} = createFixture();
		const job = addJob('large', 200);
		const [steps] = job.occurrences.values();
		for (const task of steps![0]!.tasks) {
			task.checkpoint = 'c'.repeat(checkpointLength);
		}

		steps![0]!.tasks[7]!.failedRuns.push(1);
		addJob('other', 1);
		await jobs.persistChanges();
		t.deepEqual(JSON.parse(stored.get(`${progressPrefix}large`)!), {...captureProgress(job), checkpoints: {}} satisfies JobProgress);
		t.true(stored.get(`${progressPrefix}large`)!.length <= maximumValueBytes);
		t.true(stored.has(`${progressPrefix}other`));
		t.deepEqual(reported, ['large: stored without checkpoints']);
	});
}

// Guards against the same if the rest of the progress is too large, in jobs that an earlier version has accepted.
test('a job whose progress cannot be stored at all fails, and the others go on', async t => {
	const {jobs, stored, reported, addJob} = createFixture();
	const job = addJob('large', 2000);
	for (const task of [...job.occurrences.values()][0]![0]!.tasks) {
		task.failedRuns.push(1);
	}

	addJob('other', 1);
	await jobs.persistChanges();
	t.is(job.state, JobState.Failed);
	t.deepEqual([...stored.keys()].toSorted(), [`${progressPrefix}other`, `${resultPrefix}large`]);
	t.deepEqual(reported, ['large: job failed']);
	await jobs.persistChanges();
	t.is(jobs.getState('large'), JobState.Failed);
	t.is(reported.length, 1);
});
