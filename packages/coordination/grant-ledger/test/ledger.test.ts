import test from 'ava';
import {createLedger} from '../src/ledger.js';
import type {LedgerCommand} from '../src/ledger.js';
import type {PlanContext} from '../src/plan.js';
import {holderKey, shardOf} from '../src/shard.js';
import type {ShardTable} from '../src/shard.js';
import {adoptLimits} from '../src/usage.js';

const self = {instance: 'me', incarnation: 'i'};
const ownKey = holderKey(self);
const shard = shardOf('team');

const context: PlanContext = {
	self, zone: 'a', fleet: {entriesByZone: new Map([['a', ['me']]]), selfListed: true}, draining: false, tidies: false, goneFor: () => undefined,
};

const tableWith = (units: number): ShardTable => new Map([
	['team', {limit: 40, version: 1, holdings: new Map([[ownKey, {identity: self, zone: 'a', units}]])}],
]);

/** A holder of 10 units that is idle and gives back all but its base of 4, without an answer. */
const createUncertain = () => {
	const ledger = createLedger({random: () => 0});
	ledger.usageOf('team');
	adoptLimits({
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

// Guards against a late write that takes units which the holder counts as its own again.
test('a read at the revision of a write without an answer does not raise the count', t => {
	const {next, held, finish} = createUncertain();
	t.is(held(), 4);
	const read = next();
	t.is(read.type, 'read');
	finish(read, {type: 'read', table: tableWith(10), revision: 7});
	t.is(held(), 4);
	const fence = next();
	t.is(fence.type, 'write');
	finish(fence, {type: 'committed', revision: 8});
	t.is(held(), 4);
});

// Guards against units that are lost because a write without an answer never arrived.
test('a read at a later revision tells what the holder has', t => {
	const {next, held, finish} = createUncertain();
	finish(next(), {type: 'read', table: tableWith(10), revision: 9});
	t.is(held(), 10);
});
