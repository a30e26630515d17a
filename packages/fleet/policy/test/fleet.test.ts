import test from 'ava';
import fc from 'fast-check';
import {
	computeFairShares, createPoolPolicy, deriveSettings, planWave,
} from '../src/index.js';
import type {PoolLoad} from '../src/index.js';

const seed = 20_261_204;
const second = 1000;
const equalWeights = {
	bufferCost: 1, rollOutTime: 1, moves: 1, shareNearness: 1,
};

const demands = fc.array(fc.record({share: fc.integer({min: 1, max: 10}), demand: fc.integer({min: 0, max: 100})}), {minLength: 1, maxLength: 30});

// Guards against allocations that leave capacity unused while there is demand, or that favour one team over another.
test('fair shares are work-conserving and weighted max-min', t => {
	fc.assert(fc.property(demands, fc.integer({min: 1, max: 500}), (rows, capacity) => {
		const teams = rows.map((row, index) => ({...row, team: `team-${index}`}));
		const result = computeFairShares(teams, capacity);
		const allocated = teams.map(row => ({...row, allocation: result.get(row.team)!}));
		const total = allocated.reduce((sum, row) => sum + row.allocation, 0);
		const totalDemand = allocated.reduce((sum, row) => sum + row.demand, 0);
		const highest = Math.max(...allocated.map(row => row.allocation / row.share));
		return Math.abs(total - Math.min(capacity, totalDemand)) < 1e-6
			&& allocated.every(row => row.allocation <= row.demand + 1e-9)
			&& allocated.every(row => row.allocation >= row.demand - 1e-9 || row.allocation / row.share >= highest - 1e-6);
	}), {seed, numRuns: 300});
	t.is(computeFairShares([], 1).size, 0);
});

const runPools = (demandAt: (pool: number, now: number) => number, minutes: number) => {
	const policy = createPoolPolicy(deriveSettings(equalWeights));
	const members = new Map([['spare', 8], ...Array.from({length: 5}, (_, index): [string, number] => [`pool-${index}`, 7])]);
	let moves = 0;
	for (let now = 0; now < minutes * 60 * second; now += second) {
		const pools = [...members].map(([pool, size], index): PoolLoad => ({
			pool, isSpare: pool === 'spare', minimumInstances: 2, slotsPerInstance: 8, joining: 0, busySlots: index === 0 ? 0 : demandAt(index, now),
			members: Array.from({length: size}, (_, member) => `${pool}/${member}`),
		}));
		for (const {instance, destination} of policy.tick({now, pools})) {
			const source = instance.split('/')[0]!;
			members.set(source, members.get(source)! - 1);
			members.set(destination, members.get(destination)! + 1);
			moves++;
		}
	}

	return {moves, members};
};

// Guards against moves on every burst: each queue in turn has five times its mean demand for 4 s of 20, and a twentieth otherwise.
test('bursts that affect each queue in turn cause no moves', t => {
	const {moves} = runPools((pool, now) => 30 * (Math.floor(now / (4 * second)) % 5 === pool - 1 ? 5 : 0.05), 60);
	t.is(moves, 0);
});

// Guards against hysteresis that prevents a pool from growing or shrinking.
test('a lasting change of demand moves instances to the pool and back', t => {
	const {members} = runPools((pool, now) => pool === 1 && now > 600 * second && now < 3000 * second ? 75 : 30, 50);
	t.true(members.get('pool-0')! >= 12);
	const after = runPools((pool, now) => pool === 1 && now > 600 * second && now < 3000 * second ? 75 : 30, 240);
	t.true(after.members.get('pool-0')! <= 9);
});

const instances = Array.from({length: 48}, (_, index) => ({
	instance: `instance-${String(index).padStart(2, '0')}`, pool: `pool-${index % 3}`, zone: `zone-${Math.floor(index / 16)}`, rack: `rack-${Math.floor((index % 16) / 4)}`, maintainedAt: 0,
}));
const limits = {
	periodDays: 21, maximumUnavailablePerRack: 1, maximumUnavailablePerZone: 4, maximumUnavailablePerPool: {'pool-0': 2, 'pool-1': 2, 'pool-2': 2}, maximumZonesAtOnce: 1,
};

// Guards against an instance that is omitted or maintained twice, and against an estimate that ignores a limit.
test('a wave contains every due instance once, ordered by failure domain, with an estimated finish', t => {
	const now = 30 * 86_400 * second;
	const options = {
		members: instances, limits, now, stepMilliseconds: 300 * second,
	};
	const plan = planWave(options);
	t.is(new Set(plan.order).size, 48);
	t.deepEqual(plan.order, instances.map(member => member.instance));
	t.is(plan.estimatedFinish - now, 12 * 300 * second);
	t.true(plan.endsWithinPeriod);
	t.true(planWave({...options, limits: {...limits, maximumZonesAtOnce: 3}}).estimatedFinish < plan.estimatedFinish);
	t.false(planWave({...options, limits: {...limits, maximumUnavailablePerPool: {}}}).endsWithinPeriod);
	t.is(planWave({...options, members: instances.map(member => ({...member, maintainedAt: now}))}).steps, 0);
});
