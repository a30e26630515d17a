import test from 'ava';
import {startAll} from './support/builders.js';
import {createCrashFixture} from './support/crash-fixture.js';

// Guards against logs of a task that ran twice which do not tell why its first run was given up.
test('the event of runs that are given up says on which evidence and how old that is', t => {
	const {scheduler, events, addJob, addWorker, crash, disconnect} = createCrashFixture();
	addJob('j');
	const lapsed = addWorker('w1');
	lapsed.leaseGrantedAt = 100;
	startAll(scheduler, 10);
	disconnect(lapsed, 4010);
	const restarted = addWorker('w2', 4020);
	startAll(scheduler, 4030);
	scheduler.applyRunReport({
		worker: restarted, sentAt: 4100, now: 4110, report: {
			incarnation: 20, running: [], ended: [], hasMoreEnded: false,
		},
	});
	startAll(scheduler, 4120);
	crash(restarted);
	t.snapshot(events.filter(({type}) => ['worker-lapsed', 'worker-reborn', 'worker-lost'].includes(type)));
});
