import test from 'ava';
import {createLedger} from '../src/ledger.js';
import type {LedgerCommand} from '../src/ledger.js';
import type {PlanContext} from '../src/plan.js';
import {holderKey, shardOf} from '../src/shard.js';
import type {ShardTable} from '../src/shard.js';
import {applyLimits} from '../src/usage.js';

const self = {instance: 'me', incarnation: 'i'};
const ownKey = holderKey(self);
const shard = shardOf('team');

const context: PlanContext = {
	self, zone: 'a', fleet: {entriesByZone: new Map([['a', ['me']]]), isSelfListed: true}, draining: false, maintainsShard: false, goneMilliseconds: () => undefined,
};

const tableWith = (units: number): ShardTable => new Map([
	['team', {limit: 40, version: 1, holdings: new Map([[ownKey, {identity: self, zone: 'a', units}]])}],
]);

/** An idle holder of 10 units that returns all but its minimum of 4, in a write without a response. */
const createLedgerWithUnansweredWrite = () => {
	const ledger = createLedger({random: () => 0});
	ledger.usageOf('team');
	applyLimits({
		usages: ledger.usages, limits: new Map([['team', {limit: 40, longestRunMilliseconds: 1000}]]), version: 1, now: 0,
	});
	let now = 0;
	const next = (): LedgerCommand => {
		now += 1100;
		return ledger.takeCommand(shard, context, now)!;
	};

	const held = () => ledger.usageOf('team').held;
	ledger.finish(next(), {type: 'read', table: tableWith(10), revision: 7}, {ownKey, now});
	const write = next();
	ledger.finish(write, {type: 'unknown'}, {ownKey, now});
	return {
		ledger, next, held, finish(command: LedgerCommand, outcome: Parameters<typeof ledger.finish>[1]) {
			ledger.finish(command, outcome, {ownKey, now});
		},
	};
};

// Guards against a delayed write that removes units which the holder already counts as its own again.
test('a read of the revision that a write without a response may still replace does not raise the units held', t => {
	const {next, held, finish} = createLedgerWithUnansweredWrite();
	t.is(held(), 4);
	const read = next();
	t.is(read.type, 'read');
	finish(read, {type: 'read', table: tableWith(10), revision: 7});
	t.is(held(), 4);
	const fencingWrite = next();
	t.is(fencingWrite.type, 'write');
	finish(fencingWrite, {type: 'committed', revision: 8});
	t.is(held(), 4);
});

// Guards against losing units because a write without a response never reached the store.
test('a read of a later revision sets the units held', t => {
	const {next, held, finish} = createLedgerWithUnansweredWrite();
	finish(next(), {type: 'read', table: tableWith(10), revision: 9});
	t.is(held(), 10);
});
