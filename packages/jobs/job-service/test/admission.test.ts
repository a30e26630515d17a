import type {PoolLoad} from '@turmericbay/scheduler';
import test from 'ava';
import fc from 'fast-check';
import type {JobWork} from '../src/admission.js';
import {
	chooseRetrySeconds, computeWorkAhead, decideAdmission, RefusalCause,
} from '../src/admission.js';
import {createAdmissionControl} from '../src/admission-control.js';
import type {KnownFigures} from '../src/known-figures.js';
import {createDeclaration} from './support/builders.js';

const policy = {
	name: 'queue-1', pool: 'pool-1', priority: 0, maximumAttempts: 2, stretch: 2, objectiveMilliseconds: 600, advice: undefined,
};
/** One step of 500 ms: of use for 3 * (2 * 500 + 600) = 4800 ms, refused from an expected end of 5760 ms. */
const declaration = {...createDeclaration('a'), workspace: 'one'};

const createLoad = (backlogs: PoolLoad['backlogs'], overrides: Partial<PoolLoad> = {}): PoolLoad => ({
	capacity: 1000, backlogs,
	workspaces: {one: {weight: 1, demand: 2000, share: 500}, two: {weight: 1, demand: 2000, share: 500}},
	...overrides,
});

const createKnown = (load: PoolLoad, age = 0): KnownFigures => ({figures: {pools: {'pool-1': load}, durations: {}}, computedAt: 10_000 - age, receivedAt: 10_000 - age});

const decide = (known: KnownFigures | undefined, overrides: Partial<Parameters<typeof decideAdmission>[0]> = {}) => decideAdmission({
	declaration, policy, known, acceptedSince: [], getReturningWork: () => 0, receivedAt: 10_000, now: 10_000, random: () => 0, ...overrides,
});

const backlog = (workspace: string, work: number, priority = 0) => ({
	workspace, priority, running: 0, late: 0, waiting: [[0, work]] as const,
});

// Guards against jobs that are accepted although they cannot end while they are of use.
test('a job is refused if its work ahead lasts longer than a result is of use', t => {
	t.is(decide(createKnown(createLoad([backlog('one', 5_200_000)]))).type, 'admit');
	const refused = decide(createKnown(createLoad([backlog('one', 6_000_000)])));
	t.like(refused, {type: 'refuse', cause: RefusalCause.BeyondShare, retryAfterSeconds: 2});
});

// Guards against refusals of jobs that would have met their objective, since late jobs come after them.
test('late work delays a job only once the job misses its objective', t => {
	const late = {
		workspace: 'one', priority: 0, running: 500_000, late: 60_000_000, waiting: [] as const,
	};
	t.is(decide(createKnown(createLoad([late]))).type, 'admit');
	t.is(decide(createKnown(createLoad([late, backlog('one', 1_200_000)]))).type, 'refuse');
});

// Guards against refusals of a workspace within its share because of the load of another.
test('the backlog of another workspace delays a job only as far as the shares say', t => {
	t.is(decide(createKnown(createLoad([backlog('two', 60_000_000)]))).type, 'admit');
	t.is(decide(createKnown(createLoad([backlog('one', 1_000_000), backlog('two', 60_000_000)]))).type, 'admit');
	t.is(decide(createKnown(createLoad([backlog('one', 3_000_000), backlog('two', 60_000_000)]))).type, 'refuse');
});

// Guards against a workspace that is told it exceeds its share when work of a higher priority fills the pool.
test('a workspace within its share is refused for lack of capacity', t => {
	const load = createLoad([backlog('two', 9_000_000, 0)], {workspaces: {one: {weight: 1, demand: 100, share: 100}}});
	t.like(decide(createKnown(load), {policy: {...policy, priority: 1}}), {type: 'refuse', cause: RefusalCause.NoCapacity});
});

// Guards against refusals on figures that no longer hold, without figures, and later than the objective allows.
test('a job is admitted in doubt', t => {
	const load = createLoad([backlog('one', 60_000_000)]);
	t.is(decide(createKnown(load, 1900)).type, 'refuse');
	t.is(decide(createKnown(load, 2100)).type, 'admit');
	t.is(decide(undefined).type, 'admit');
	t.is(decide(createKnown(load), {receivedAt: 9800}).type, 'admit');
	t.is(decide(createKnown(load), {policy: {...policy, pool: 'pool-2'}}).type, 'admit');
	t.is(decide(createKnown(load), {policy: undefined}).type, 'admit');
	t.is(decide(createKnown(load), {declaration: {...declaration, repetitions: 2}}).type, 'admit');
	t.is(decide(createKnown(load), {declaration: {...declaration, steps: declaration.steps.map(step => ({...step, longRunning: true}))}}).type, 'admit');
	t.is(decide(createKnown({...load, capacity: 0})).type, 'admit');
});

// Guards against the refusal of jobs that an idle pool would have served, whatever they declare.
test('no job is refused while no work is ahead of it', t => {
	fc.assert(fc.property(fc.integer({min: 1, max: 200}), fc.integer({min: 1, max: 60_000}), fc.integer({min: 1, max: 8000}), (taskCount, estimateMilliseconds, cpuMillis) => {
		const [step] = declaration.steps;
		t.is(decide(createKnown(createLoad([])), {
			declaration: {
				...declaration, steps: [{
					...step!, taskCount, estimateMilliseconds, resources: {...step!.resources, cpuMillis},
				}],
			},
		}).type, 'admit');
	}), {seed: 8, numRuns: 200});
});

// Guards against work ahead that exceeds the work there is, or that decreases as load is added.
test('the work ahead is bounded by all work and grows with each backlog', t => {
	const work = fc.integer({min: 0, max: 1_000_000});
	const row = fc.record({
		workspace: fc.constantFrom('one', 'two', 'three'), priority: fc.integer({min: 0, max: 2}), running: work, late: work, waiting: work.map(waiting => [[0, waiting] as const] as const),
	});
	const job: JobWork = {
		pool: 'pool-1', priority: 1, workspace: 'one', work: 0, deadline: 10_000,
	};
	fc.assert(fc.property(fc.array(row, {maxLength: 8}), row, (rows, added) => {
		const measure = (backlogs: typeof rows) => computeWorkAhead({
			load: createLoad(backlogs), job, figuresAt: 0, acceptedSince: [], includesLate: true,
		});
		const total = rows.reduce((sum, entry) => sum + entry.running + entry.late + entry.waiting[0][1], 0);
		t.true(measure(rows) <= total + 1e-6);
		t.true(measure([...rows, added]) >= measure(rows) - 1e-6);
	}), {seed: 8, numRuns: 300});
});

// Guards against callers that all return in the same second, and against delays outside of what the platform allows.
test('callers return spread over time, later ones later', t => {
	t.is(chooseRetrySeconds(1, () => 0), 1);
	t.is(chooseRetrySeconds(2000, () => 0), 2);
	t.is(chooseRetrySeconds(2000, () => 0.99), 3);
	t.deepEqual(new Set([0, 0.5, 0.99].map(random => chooseRetrySeconds(60_000, () => random))), new Set([4, 5]));
	const known = createKnown(createLoad([backlog('one', 5_400_000)]));
	const control = createAdmissionControl({
		getFigures: () => known, getPolicy: () => policy, clock: {now: () => 10_000, wallNow: () => 0}, random: () => 0,
	});
	const large = {...declaration, steps: declaration.steps.map(step => ({...step, taskCount: 30}))};
	const delays = [1, 2, 3].map(() => {
		const decision = control.decide(large, 10_000);
		if (decision.type === 'refuse') {
			control.recordRefused(decision);
		}

		return decision.type === 'refuse' ? decision.retryAfterSeconds : 0;
	});
	t.deepEqual(delays, [2, 3, 4]);
});

// Guards against an instance that admits a burst on figures that are older than the burst.
test('what the instance has accepted since the figures counts as work ahead', t => {
	let now = 10_001;
	const known = createKnown(createLoad([backlog('one', 4_000_000)]));
	const control = createAdmissionControl({
		getFigures: () => known, getPolicy: () => policy, clock: {now: () => now, wallNow: () => 0}, random: () => 0,
	});
	const large = {...declaration, steps: declaration.steps.map(step => ({...step, taskCount: 30}))};
	t.is(control.decide(large, now).type, 'admit');
	control.recordAccepted(large);
	now += 10;
	t.is(control.decide(large, now).type, 'refuse');
});
