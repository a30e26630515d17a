import test from 'ava';
import fc from 'fast-check';
import {
	addWorker, createFleetTables, createScheduler, noResources, RefusalReason, setTeam,
} from '../src/index.js';
import type {
	FleetAction, FleetTables, JobDeclaration, Resources, Scheduler,
} from '../src/index.js';

const seed = 20_261_204;
const second = 1000;
const capacity: Resources = {processors: 16, memoryGigabytes: 32, accelerators: 0};

const build = (options: {workers?: number; limit?: number; teams?: string[]; overrunProbability?: number} = {}): {tables: FleetTables; scheduler: Scheduler} => {
	const tables = createFleetTables();
	for (let index = 0; index < (options.workers ?? 4); index++) {
		addWorker(tables, {
			worker: `worker-${index}`, pool: 'batch', zone: `zone-${index % 2}`, rack: `rack-${index % 4}`, capacity,
		});
	}

	for (const team of options.teams ?? ['a', 'b', 'c']) {
		setTeam(tables, {team, share: 1, limit: options.limit ?? 1000});
	}

	return {tables, scheduler: createScheduler({tables, overrunProbability: options.overrunProbability ?? 0.05})};
};

const createDeclaration = (job: string, changes: Partial<JobDeclaration> = {}): JobDeclaration => ({
	job, team: 'a', queue: 'night', pool: 'batch', urgent: false, submittedAt: 0, declared: {processors: 4, memoryGigabytes: 8, accelerators: 0}, ...changes,
});

const listJobs = (actions: FleetAction[], type: FleetAction['type']) => actions.filter(action => action.type === type).map(action => action.job);

const event = fc.tuple(fc.constantFrom('submit', 'submit', 'cancel', 'finish', 'fail', 'tick'), fc.nat(40), fc.nat(2));

// Guards against reservations, counts or queue entries that outlive their job, and against a team that exceeds its limit.
test('tables stay consistent and cancelled jobs leave no entries behind', t => {
	fc.assert(fc.property(fc.array(event, {minLength: 50, maxLength: 300, size: 'max'}), events => {
		const {tables, scheduler} = build({limit: 5});
		for (const [index, [type, jobNumber, team]] of events.entries()) {
			const job = `job-${jobNumber}`;
			if (type === 'submit' && !tables.jobs.has(job)) {
				scheduler.submit(createDeclaration(job, {team: 'abc'[team]!, urgent: jobNumber % 7 === 0, submittedAt: index * second}));
			} else if (type === 'cancel') {
				scheduler.cancel(job);
			} else if (type === 'finish' || type === 'fail') {
				scheduler.finish({job, succeeded: type === 'finish', now: index * second});
			} else {
				scheduler.tick(index * second);
			}

			const running = [...tables.jobs.values()].filter(row => row.task);
			const isWithinLimits = [...tables.teams.values()].every(row => row.running <= row.limit && row.running === running.filter(other => other.team === row.team).length);
			const isWithinCapacity = [...tables.workers.values()].every(worker => worker.expected.processors <= capacity.processors && worker.expected.memoryGigabytes <= capacity.memoryGigabytes);
			if (!isWithinLimits || !isWithinCapacity) {
				return false;
			}
		}

		for (const job of tables.jobs.keys()) {
			scheduler.cancel(job);
		}

		return tables.jobs.size === 0 && tables.classesByRack.size === 0
			&& [...tables.teams.values()].every(row => row.running === 0 && row.waiting.size === 0 && row.urgentWaiting.size === 0 && row.reservedResources === noResources)
			&& [...tables.workers.values()].every(worker => worker.runningJobs.size === 0 && worker.expected === noResources && worker.variance === noResources);
	}), {seed, numRuns: 100});
	t.deepEqual(build().scheduler.tick(0), []);
});

// Guards against jobs that wait indefinitely for a worker that does not exist.
test('jobs that can never run are refused immediately or after a bounded number of attempts', t => {
	const {scheduler, tables} = build();
	const large = scheduler.submit(createDeclaration('large', {declared: {processors: 17, memoryGigabytes: 1, accelerators: 0}}));
	t.deepEqual(large, [{type: 'refuse', job: 'large', reason: RefusalReason.FitsNoWorker}]);
	const device = scheduler.submit(createDeclaration('device', {declared: {processors: 1, memoryGigabytes: 1, accelerators: 1}}));
	t.deepEqual(device, [{type: 'refuse', job: 'device', reason: RefusalReason.FitsNoWorker}]);
	scheduler.submit(createDeclaration('broken'));
	const refusals: FleetAction[] = [];
	for (let tries = 0; tries < 4; tries++) {
		t.deepEqual(listJobs(scheduler.tick(tries * second), 'start'), ['broken']);
		refusals.push(...scheduler.finish({job: 'broken', succeeded: false, now: tries * second}));
	}

	t.deepEqual(refusals, [{type: 'refuse', job: 'broken', reason: RefusalReason.FailedEverywhere}]);
	t.is(tables.jobs.size, 0);
});

// Guards against a faulty worker that gets one job after the other because each failure makes it free again.
test('a worker on which all jobs fail is quarantined after a few failures', t => {
	const {scheduler, tables} = build({workers: 10});
	const wholeWorker = {declared: capacity};
	for (let index = 0; index < 9; index++) {
		scheduler.submit(createDeclaration(`long-${index}`, wholeWorker));
	}

	scheduler.tick(0);
	const idleWorker = [...tables.workers.values()].find(worker => worker.runningJobs.size === 0);
	let failures = 0;
	for (let index = 1; index < 200; index++) {
		scheduler.submit(createDeclaration(`job-${index}`, {team: 'abc'[index % 3]!}));
		for (const job of listJobs(scheduler.tick(index * second), 'start')) {
			failures++;
			scheduler.finish({job, succeeded: false, now: index * second});
		}
	}

	t.log({failures});
	t.true(scheduler.health.isQuarantined(idleWorker!.worker));
	// Three failures before the quarantine, and one probe each after 60 s and 120 s.
	t.true(failures <= 5);
});

// Guards against the quarantine of healthy workers because of one team's faulty jobs.
test('jobs that fail on every worker cause no quarantine', t => {
	const {scheduler, tables} = build({workers: 10});
	for (let index = 0; index < 200; index++) {
		scheduler.submit(createDeclaration(`job-${index}`, {team: index % 2 === 0 ? 'a' : 'b'}));
		for (const action of scheduler.tick(index * second)) {
			if (action.type === 'start') {
				scheduler.finish({job: action.job, succeeded: tables.jobs.get(action.job)?.team === 'b', now: index * second});
			}
		}
	}

	t.deepEqual([...tables.workers.keys()].filter(worker => scheduler.health.isQuarantined(worker)), []);
});

// Guards against urgent jobs that wait longer than 9.6 s while the fleet is full.
test('an urgent job starts within 9.6 s on a full fleet', t => {
	const {scheduler} = build();
	for (let index = 0; index < 40; index++) {
		scheduler.submit(createDeclaration(`job-${index}`, {team: 'abc'[index % 3]!}));
	}

	scheduler.tick(0);
	scheduler.submit(createDeclaration('urgent', {
		team: 'b', urgent: true, submittedAt: second, declared: {processors: 8, memoryGigabytes: 8, accelerators: 0},
	}));
	let startedAt: number | undefined;
	for (let now = second; now <= 12 * second && startedAt === undefined; now += second) {
		const actions = scheduler.tick(now);
		// Checkpoints never complete; only the subsequent stops free capacity.
		for (const job of listJobs(actions, 'stop')) {
			scheduler.release(job);
		}

		startedAt = listJobs(actions, 'start').includes('urgent') ? now : undefined;
	}

	t.true(startedAt !== undefined && startedAt - second <= 9600);
});

// Guards against jobs that are stopped where throttling or a checkpoint would have been enough.
test('an overloaded worker is relieved by throttle, checkpoint and stop, in that order', t => {
	const {scheduler} = build({workers: 1});
	scheduler.submit(createDeclaration('job-0'));
	scheduler.submit(createDeclaration('job-1'));
	scheduler.tick(0);
	scheduler.reportUsage({job: 'job-0', used: {processors: 15, memoryGigabytes: 8, accelerators: 0}});
	const seen: string[] = [];
	for (let now = 0; now <= 30 * second; now += second) {
		seen.push(...scheduler.tick(now).filter(action => action.job === 'job-0').map(action => action.type));
	}

	t.deepEqual(seen, ['throttle', 'checkpoint', 'stop']);
});

// Guards against reservations that keep following inaccurate declarations.
test('sizes are learned from usage per team and queue', t => {
	const {scheduler, tables} = build({workers: 1, overrunProbability: 0.05});
	const runBatch = (round: number, team: string) => {
		for (let index = 0; index < 40; index++) {
			scheduler.submit(createDeclaration(`${team}-${round}-${index}`, {team}));
		}

		const started = listJobs(scheduler.tick(round * second), 'start');
		for (const job of started) {
			scheduler.reportUsage({job, used: {processors: 1, memoryGigabytes: 2, accelerators: 0}});
			scheduler.finish({job, succeeded: true, now: round * second});
		}

		for (const job of tables.jobs.keys()) {
			scheduler.cancel(job);
		}

		return started.length;
	};

	const counts = Array.from({length: 8}, (_, round) => runBatch(round, 'a'));
	t.is(counts[0], 4);
	t.true(counts[7]! >= 14, `${counts[7]} jobs of a quarter of their declared size should run at once`);
	t.is(runBatch(9, 'b'), 4);
});
