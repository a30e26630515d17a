import test from 'ava';
import {
	addWorker, createJob, createRegistration, createStep, createTestScheduler, respond,
} from './support/builders.js';

const found = {
	task: 'j.0.0.0', run: 1, checkpoint: '', percent: 10, latencyOrCpuUsage: 0,
};

const planStart = () => {
	const scheduler = createTestScheduler();
	const job = scheduler.addJob(createJob('j', [createStep()]), {isRestored: false, now: 0, wallNow: 0});
	addWorker(scheduler, createRegistration('w1'));
	const [order] = scheduler.plan({now: 1, wallNow: 1, mayStart: true});
	const other = addWorker(scheduler, createRegistration('w2', {address: '10.0.0.2:80'}), 1);
	const [task] = job.occurrences.get(0)![0]!.tasks;
	return {
		scheduler, other, task: task!, row: order?.type === 'start' ? order.row : undefined,
	};
};

// Guards against a task that runs twice at the same time: its planned start was still sent although a worker had reported that it was executing the task.
test('a start that has not been sent is withdrawn once a worker reports another run of the task', t => {
	const {scheduler, other, task, row} = planStart();
	t.false(row?.isSent);
	respond(scheduler, other, 2, [{...found, run: 7}]);
	t.deepEqual([...task.runs.keys()], [7]);
	t.is(row?.worker.runs.size, 0);
});

// Guards against a run that goes on beside the one that was found, since nobody knows of it any more.
test('a start that may have been executed stays known, and the run that was found is stopped', t => {
	const {scheduler, other, task, row} = planStart();
	row!.isSent = true;
	respond(scheduler, other, 2, [{...found, run: 7}]);
	t.deepEqual([...task.runs.keys()], [row!.run]);
	t.deepEqual(scheduler.plan({now: 3, wallNow: 3, mayStart: true}).map(order => order.type === 'stop' ? [order.task, order.run] : order.type), [['j.0.0.0', 7]]);
});
