import test from 'ava';
import fc from 'fast-check';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {AttemptResult, createRoutingTable, isEjected} from '../src/index.js';
import type {PoolLimits, RoutingTable, Upstream} from '../src/index.js';

const seed = 20_262;
const noInstances: ReadonlySet<string> = new Set();
const results = Object.values(AttemptResult);

const createRandom = (start: number) => {
	const generator = xoroshiro128plus(start);
	return () => uniformFloat64(generator);
};

const createRecord = (index: number, changes: Partial<InstanceRecord> = {}): InstanceRecord => ({
	instance: `upstream-${index}`,
	incarnation: 'first',
	address: `127.0.0.1:${9000 + index}`,
	role: InstanceRole.Upstream,
	pool: 'pricing',
	zone: index % 2 === 0 ? 'a' : 'b',
	rack: 'rack-1',
	state: InstanceState.Live,
	...changes,
});

const createPool = (count: number, changes: Partial<PoolLimits> = {}): RoutingTable => {
	const table = createRoutingTable({zone: 'a', random: createRandom(seed)});
	const limits: PoolLimits = {
		slotsPerInstance: 8, connectionsPerInstance: 64, maximumUnavailable: 1, ...changes,
	};
	table.updatePools({pools: {pricing: limits}, now: 0});
	table.updateInstances({instances: Array.from({length: count}, (_, index) => createRecord(index)), now: 0});
	return table;
};

const startRequest = (table: RoutingTable, now = 0): Upstream | undefined => table.startRequest({pool: 'pricing', now, excluded: noInstances});

const failRequest = (table: RoutingTable, upstream: Upstream, now: number): boolean => {
	upstream.ownInFlight++;
	return table.finishRequest({upstream, result: AttemptResult.Failure, now}).ejected;
};

const listing = fc.array(fc.record({
	present: fc.boolean(), state: fc.constantFrom(...Object.values(InstanceState)), incarnation: fc.constantFrom('first', 'second'),
}), {minLength: 4, maxLength: 4});
const command = fc.oneof(
	{arbitrary: fc.record({type: fc.constant('begin' as const)}), weight: 8},
	{
		arbitrary: fc.record({
			type: fc.constant('finish' as const), pick: fc.nat(), result: fc.constantFrom(...results, AttemptResult.Failure), isAbandoned: fc.nat({max: 9}).map(value => value === 0),
		}), weight: 8,
	},
	{arbitrary: fc.record({type: fc.constant('list' as const), listing}), weight: 2},
	{arbitrary: fc.record({type: fc.constant('peers' as const), loads: fc.array(fc.nat({max: 80}), {minLength: 4, maxLength: 4})}), weight: 1},
	{arbitrary: fc.record({type: fc.constant('wait' as const), milliseconds: fc.nat({max: 3000})}), weight: 2},
);

type Model = {table: RoutingTable; running: Upstream[]; list: InstanceRecord[]; now: number; limits: PoolLimits};

const checkStart = (model: Model): string | undefined => {
	const {table, now, list, running, limits} = model;
	const free = table.countFreeSlots({pool: 'pricing', now});
	const upstream = startRequest(table, now);
	if (upstream === undefined) {
		return free === 0 ? undefined : 'found no upstream although slots were free';
	}

	running.push(upstream);
	const {instance, incarnation} = upstream.record;
	const listed = list.find(candidate => candidate.instance === instance);
	const used = upstream.ownInFlight + upstream.abandonedInFlight;
	if (listed?.state !== InstanceState.Live || listed.incarnation !== incarnation) {
		return 'selected an upstream that is not live';
	}

	if (isEjected(upstream, now)) {
		return 'selected an ejected upstream';
	}

	return used > limits.slotsPerInstance || used + upstream.peersInFlight > limits.connectionsPerInstance ? 'exceeded the slots or connections of the upstream' : undefined;
};

const apply = (model: Model, step: typeof command extends fc.Arbitrary<infer Value> ? Value : never): string | undefined => {
	const {table, running} = model;
	switch (step.type) {
		case 'begin': {
			return checkStart(model);
		}

		case 'finish': {
			const [upstream] = running.splice(step.pick % Math.max(1, running.length), 1);
			if (upstream !== undefined) {
				table.finishRequest({
					upstream, result: step.result, now: model.now, isAbandoned: step.isAbandoned,
				});
			}

			return undefined;
		}

		case 'list': {
			model.list = step.listing.flatMap(({present, state, incarnation}, index) => present ? [createRecord(index, {state, incarnation})] : []);
			table.updateInstances({instances: model.list, now: model.now});
			return undefined;
		}

		case 'peers': {
			const upstreams = step.loads.map((inFlight, index) => ({instance: `upstream-${index}`, inFlight}));
			table.setPeerLoads({
				loads: [{
					instance: 'entry-2', zone: 'b', pools: [{pool: 'pricing', queued: 0, inFlight: 1}], upstreams,
				}],
			});
			return undefined;
		}

		case 'wait': {
			model.now += step.milliseconds;
			return undefined;
		}
	}
};

const checkBudget = ({table, list, now, limits}: Model): string | undefined => {
	const serving = table.listUpstreams().filter(({record: {instance, incarnation}}) =>
		list.some(listed => listed.instance === instance && listed.incarnation === incarnation && listed.state === InstanceState.Live));
	const ejected = serving.filter(upstream => isEjected(upstream, now)).length;
	const leaving = list.filter(({state}) => state === InstanceState.Leaving).length;
	if (ejected > Math.max(0, limits.maximumUnavailable - leaving)) {
		return 'ejected more than the availability budget allows';
	}

	return serving.length > 0 && ejected === serving.length ? 'ejected the whole pool' : undefined;
};

// Guards against requests sent to a leaving, replaced or ejected upstream, exceeded slots, and ejections beyond the availability budget.
test('any sequence of requests, instance lists, peer reports and failures respects the list, the slots and the budget', t => {
	fc.assert(fc.property(fc.integer({min: 0, max: 3}), fc.array(command, {maxLength: 150, size: 'max'}), (maximumUnavailable, steps) => {
		const limits: PoolLimits = {slotsPerInstance: 3, connectionsPerInstance: 64, maximumUnavailable};
		const model: Model = {
			table: createPool(4, limits), running: [], list: [0, 1, 2, 3].map(index => createRecord(index)), now: 0, limits,
		};
		for (const step of steps) {
			t.is(apply(model, step), undefined);
			t.is(checkBudget(model), undefined);
		}
	}), {seed, numRuns: 500});
});

// Guards against unnecessary traffic between zones, and against queueing while upstreams in other zones are idle.
test('upstreams of the own zone are used first, then those of other zones', t => {
	const table = createPool(4);
	const zones = Array.from({length: 30}, () => startRequest(table)?.record.zone);
	// The last of the 8 slots of each upstream in another zone is left to the entry instances there.
	t.deepEqual(zones, [...Array.from({length: 16}, () => 'a'), ...Array.from({length: 14}, () => 'b')]);
	t.is(startRequest(table), undefined);
});

// Guards against overloading one upstream while others have free slots.
test('requests are spread over the upstreams of a zone and avoid those loaded by peers', t => {
	const table = createPool(8);
	table.setPeerLoads({
		loads: [{
			instance: 'entry-2', zone: 'a', pools: [], upstreams: [{instance: 'upstream-0', inFlight: 6}],
		}],
	});
	for (let turn = 0; turn < 12; turn++) {
		startRequest(table);
	}

	const local = table.listUpstreams().filter(({record: {zone}}) => zone === 'a').map(({ownInFlight}) => ownInFlight);
	t.is(local[0], 0);
	t.true(Math.max(...local.slice(1)) - Math.min(...local.slice(1)) <= 2);
});

// Guards against an entry instance that gets no slots because its peers use them all.
test('an even share of the slots stays usable when peers report all of them as in use', t => {
	const table = createPool(1);
	table.setPeerLoads({
		loads: ['entry-2', 'entry-3', 'entry-4'].map(instance => ({
			instance, zone: 'a', pools: [{pool: 'pricing', queued: 1, inFlight: 8}], upstreams: [{instance: 'upstream-0', inFlight: 8}],
		})),
	});
	t.is(table.countFreeSlots({pool: 'pricing', now: 0}), 2);
});

// Guards against an upstream that stays ejected forever, and against trying a failed one too often.
test('five failures in a row eject, each further ejection lasts twice as long, and a success ends it', t => {
	const table = createPool(4);
	const upstream = table.listUpstreams()[0]!;
	t.deepEqual([1, 2, 3, 4, 5].map(() => failRequest(table, upstream, 0)), [false, false, false, false, true]);
	t.deepEqual([999, 1000].map(now => isEjected(upstream, now)), [true, false]);
	t.true(failRequest(table, upstream, 1000));
	t.deepEqual([2999, 3000].map(now => isEjected(upstream, now)), [true, false]);
	upstream.ownInFlight++;
	table.finishRequest({upstream, result: AttemptResult.Success, now: 3000});
	t.false(failRequest(table, upstream, 3001));
});

// Guards against an upstream that fails immediately, so looks idle, and attracts the most requests while the budget prevents its ejection.
test('an upstream that keeps failing but cannot be ejected gets few requests', t => {
	const table = createPool(8, {maximumUnavailable: 0});
	const failing = table.listUpstreams()[0]!;
	let sent = 0;
	for (let turn = 0; turn < 100; turn++) {
		const upstream = startRequest(table)!;
		sent += upstream === failing ? 1 : 0;
		table.finishRequest({upstream, result: upstream === failing ? AttemptResult.Failure : AttemptResult.Success, now: turn});
	}

	t.true(sent <= 5, `${sent} of 100 requests`);
});

// Guards against ejections and planned stops that together take more upstreams out of service than the budget allows.
test('an ejection ends when an instance of the pool begins to leave', t => {
	const table = createPool(4);
	const [upstream] = table.listUpstreams();
	for (let failure = 0; failure < 5; failure++) {
		failRequest(table, upstream!, 0);
	}

	t.true(isEjected(upstream!, 1));
	table.updateInstances({instances: [0, 1, 2, 3].map(index => createRecord(index, index === 3 ? {state: InstanceState.Leaving} : {})), now: 1});
	t.false(isEjected(upstream!, 1));
});

// Guards against a restarted upstream that inherits the requests and failures of its previous process.
test('a new incarnation starts with no state and the previous one is returned as removed', t => {
	const table = createPool(1);
	const previous = startRequest(table)!;
	const {removed} = table.updateInstances({instances: [createRecord(0, {incarnation: 'second'})], now: 0});
	t.deepEqual(removed, [createRecord(0)]);
	const current = startRequest(table)!;
	t.is(current.ownInFlight, 1);
	t.is(table.countInFlight({pool: 'pricing'}), 2);
	table.finishRequest({upstream: previous, result: AttemptResult.Neutral, now: 0});
	t.deepEqual(table.listUpstreams(), [current]);
});
