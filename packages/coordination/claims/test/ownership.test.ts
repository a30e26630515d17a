import test from 'ava';
import {InstanceRole, InstanceState, unknownIncarnation} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';
import {createOwnerPlanner, findSuccessor} from '../src/ownership.js';

const entry = (instance: string, incarnation: string): InstanceRecord => ({
	instance, incarnation, address: '127.0.0.1:1', role: InstanceRole.Entry, pool: 'entry', zone: instance, rack: 'rack-1', state: InstanceState.Live,
});

const planFor = (records: readonly InstanceRecord[]) => createOwnerPlanner({
	instances: () => records,
	ageMilliseconds: () => 0,
	isProvenGone: () => false,
	subscribe: () => undefined,
})();

const record = {
	owner: {instance: 'a', incarnation: 'run-a'}, session: '1', epoch: 1, takenAt: 0, complete: true, incompleteBefore: 0, refusedAt: 0, sources: [],
};

// Guards against partitions without an owner after a handover to an instance whose process was not known yet.
test('a partition is handed over only to a known process', t => {
	const self = {instance: 'a', incarnation: 'run-a'};
	const before = planFor([entry('a', 'run-a'), entry('b', unknownIncarnation)]);
	const after = planFor([entry('a', 'run-a'), entry('b', 'run-b')]);
	t.deepEqual(before.byPartition, after.byPartition);
	const partition = before.byPartition.indexOf('b');
	t.is(findSuccessor({
		partition, record, self, plan: before, now: 0,
	}), undefined);
	t.deepEqual(findSuccessor({
		partition, record, self, plan: after, now: 0,
	}), {instance: 'b', incarnation: 'run-b'});
});

// Guards against a planned stop that waits for its time limit because the first process in rank handed the partition over recently.
test('a stopping process hands over to the next process in rank', t => {
	const self = {instance: 'a', incarnation: 'run-a'};
	const plan = planFor([entry('b', 'run-b'), entry('c', 'run-c')]);
	const partition = plan.byPartition.indexOf('b');
	const handedOver = {...record, sources: [{instance: 'b', incarnation: 'run-b', endedAt: 0}]};
	const options = {
		partition, record: handedOver, self, plan, now: 1000,
	};
	t.is(findSuccessor(options), undefined);
	t.deepEqual(findSuccessor({...options, isStopping: true}), {instance: 'c', incarnation: 'run-c'});
});
