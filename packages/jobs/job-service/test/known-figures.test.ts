import test from 'ava';
import {createFiguresCache} from '../src/known-figures.js';
import {computeMovableCapacity} from '../src/movable-capacity.js';
import {createOwnerLoadFigures} from '../src/owner-load-figures.js';
import {createDeclaration, createSchedulerWithWorker} from './support/builders.js';

const figures = {pools: {}, durations: {a: 5}};

// Guards against figures that seem newer than they are, because a call took long or because its response arrived after a newer one.
test('the age of figures is counted from the call that brought them', t => {
	let now = 1000;
	const cache = createFiguresCache({now: () => now});
	cache.record({}, 0);
	t.is(cache.newest(undefined), undefined);
	cache.record({figures, ageMilliseconds: 100}, 900);
	t.deepEqual(cache.newest(undefined), {figures, computedAt: 800, receivedAt: 1000});
	now = 1200;
	cache.record({figures: {...figures, durations: {}}, ageMilliseconds: 250}, 1000);
	t.is(cache.newest(undefined)?.computedAt, 800);
	t.is(cache.newest({figures, ageMilliseconds: 50})?.computedAt, 1150);
});

// Guards against an owner that spends its processor time on figures.
test('figures are requested, and computed, at most every 250 ms', t => {
	let now = 5000;
	const clock = {now: () => now, wallNow: () => 0};
	const cache = createFiguresCache({now: clock.now});
	const {scheduler} = createSchedulerWithWorker(1);
	const source = createOwnerLoadFigures({
		scheduler, clock, tookOverAt: 0, getMovableCapacity: () => 0,
	});
	let requests = 0;
	const computed = new Set<unknown>();
	for (; now < 6000; now += 10) {
		requests += cache.takeRequest() ? 1 : 0;
		computed.add(source.get()?.figures);
	}

	t.is(requests, 4);
	t.is(computed.size, 4);
});

// Guards against figures that take a noticeable part of the time of a slow owner with many jobs.
test('figures that take long are computed less often', t => {
	let now = 5000;
	let computations = 0;
	const {scheduler} = createSchedulerWithWorker(1);
	const source = createOwnerLoadFigures({
		clock: {now: () => now, wallNow: () => 0}, tookOverAt: 0, getMovableCapacity: () => 0,
		scheduler: {
			...scheduler, computeLoadFigures() {
				computations += 1;
				now += 10;
				return figures;
			},
		},
	});
	for (const end = now + 5000; now < end; now += 10) {
		source.get();
	}

	t.is(computations, 10);
});

// Guards against refusals after a takeover, when workers that have not answered yet are missing from the capacity.
test('an owner has no figures until each worker has answered or is lost', t => {
	let now = 3999;
	const source = createOwnerLoadFigures({
		scheduler: createSchedulerWithWorker(1).scheduler, clock: {now: () => now, wallNow: () => 0}, tookOverAt: 0, getMovableCapacity: () => 0,
	});
	t.is(source.get(), undefined);
	now = 4000;
	t.not(source.get(), undefined);
});

// Guards against refusals while the pool is about to get machines from standby or from another pool.
test('machines that can move to a pool count as its capacity', t => {
	const {worker: idle} = createSchedulerWithWorker(1);
	const {scheduler, worker: busy} = createSchedulerWithWorker(1);
	scheduler.addJob(createDeclaration('a'), {isRestored: false, now: 0, wallNow: 0});
	scheduler.plan({now: 0, wallNow: 0, mayStart: true});
	t.is(busy.runs.size, 1);
	const machine = (pool: string, worker: typeof idle | undefined, overrides: {isUp?: boolean; isMoving?: boolean; isEvacuated?: boolean} = {}) => ({
		machine: pool, pool, cpuMillis: 1000, isUp: true, isMoving: false, isEvacuated: false, worker, ...overrides,
	});
	const compute = (machines: Parameters<typeof computeMovableCapacity>[0]['machines']) => computeMovableCapacity({machines, standbyPools: new Set(['standby']), pool: 'full'});
	t.is(compute([machine('standby', undefined), machine('full', idle), machine('other', busy), machine('other', undefined, {isUp: false})]), 1000);
	t.is(compute([machine('other', undefined, {isUp: false, isMoving: true})]), 1000);
	t.is(compute([machine('standby', undefined, {isEvacuated: true})]), 0);
	// The other pool keeps two machines.
	t.is(compute([machine('other', idle), machine('other', idle), machine('other', idle)]), 1000);
	t.is(compute([machine('other', busy), machine('other', busy), machine('other', idle)]), 1000);
});
