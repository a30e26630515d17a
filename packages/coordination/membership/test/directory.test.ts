import test from 'ava';
import {
	createManualClock, InstanceRole, InstanceState, unknownIncarnation,
} from '@turmericbay/types';
import type {InstanceRecord} from '@turmericbay/types';
import {createInstanceDirectory, OfferRefusal} from '../src/index.js';

const record = (instance: string, incarnation: string, role = InstanceRole.Entry): InstanceRecord => ({
	instance, incarnation, address: '127.0.0.1:1', role, pool: 'entry', zone: 'a', rack: 'r', state: InstanceState.Live,
});

const list = (count: number) => Array.from({length: count}, (_, index) => record(`e${index}`, `i${index}`));

const createFixture = () => {
	const clock = createManualClock();
	const directory = createInstanceDirectory({clock});
	const offerAfter = (milliseconds: number, records: readonly InstanceRecord[], ageMilliseconds = 0) => {
		clock.advance(milliseconds);
		return directory.offer({records, ageMilliseconds});
	};

	return {clock, directory, offerAfter};
};

const refusalOf = (outcome: ReturnType<ReturnType<typeof createFixture>['offerAfter']>) =>
	outcome.type === 'refused' ? outcome.refusal : undefined;

// Guards against reclaiming the units of a process that merely has not reached the lagging list yet.
test('a process that was never listed is not proven gone', t => {
	const {directory, offerAfter} = createFixture();
	offerAfter(0, list(5));
	offerAfter(60_000, list(5));
	t.false(directory.isProvenGone({instance: 'new', incarnation: 'x'}));
});

// Guards against proof from a copy of the list that is older than it looks.
test('absence counts from a list that is at least 2 s newer', t => {
	const {directory, offerAfter} = createFixture();
	const gone = {instance: 'e4', incarnation: 'i4'};
	offerAfter(0, list(5));
	offerAfter(1000, list(4));
	t.false(directory.isProvenGone(gone));
	offerAfter(1000, list(4));
	t.true(directory.isProvenGone(gone));
	t.false(directory.isProvenGone({instance: 'e3', incarnation: 'i3'}));
});

// Guards against waiting for ever for a process that was replaced in place.
test('another incarnation of the same instance proves the earlier one gone', t => {
	const {directory, offerAfter} = createFixture();
	offerAfter(0, list(5));
	offerAfter(3000, [...list(4), record('e4', 'second')]);
	t.true(directory.isProvenGone({instance: 'e4', incarnation: 'i4'}));
	t.false(directory.isProvenGone({instance: 'e4', incarnation: 'second'}));
});

// Guards against an old copy from a slow peer that brings back the dead or hides the new.
test('a list that is older than the one seen never counts', t => {
	const {directory, offerAfter} = createFixture();
	offerAfter(10_000, list(5));
	t.is(refusalOf(offerAfter(1000, list(3), 5000)), OfferRefusal.Older);
	t.is(directory.instances().length, 5);
});

// Guards against a faulty list service that takes down everything at once.
test('a suddenly empty or halved list is held back until five reads showed it', t => {
	for (const [offered, refusal] of [[[], OfferRefusal.Empty], [list(2), OfferRefusal.RoleHalved]] as const) {
		const {directory, offerAfter} = createFixture();
		offerAfter(0, list(5));
		const refusals = Array.from({length: 4}, () => refusalOf(offerAfter(1000, offered)));
		t.deepEqual(refusals, Array.from({length: 4}, () => refusal));
		t.is(directory.instances().length, 5);
		t.is(offerAfter(1000, offered).type, 'adopted');
		t.true(directory.isProvenGone({instance: 'e4', incarnation: 'i4'}));
	}
});

// Guards against counting copies of one read, which many peers pass on, as many reads.
test('copies of one read do not confirm each other', t => {
	const {offerAfter} = createFixture();
	offerAfter(0, list(5));
	const outcomes = Array.from({length: 20}, () => offerAfter(10, list(1)).type);
	t.true(outcomes.every(type => type === 'refused'));
});

// Guards against units that nobody can reclaim after all entry instances were restarted.
test('a process noted by others is proven gone by a list read a minute later', t => {
	const {directory, offerAfter} = createFixture();
	const gone = {instance: 'old', incarnation: 'x'};
	offerAfter(0, list(3));
	directory.markPreviouslyListed(gone);
	offerAfter(59_000, list(3));
	t.false(directory.isProvenGone(gone));
	offerAfter(1000, list(3));
	t.true(directory.isProvenGone(gone));
});

// Guards against reclaiming the units of a live process that this instance has never talked to.
test('a listed instance whose run is unknown proves nothing about its processes', t => {
	const {directory, offerAfter} = createFixture();
	const identity = {instance: 'e4', incarnation: 'daemon-1'};
	offerAfter(0, [...list(4), record('e4', unknownIncarnation)]);
	directory.markPreviouslyListed(identity);
	offerAfter(120_000, [...list(4), record('e4', unknownIncarnation)]);
	t.false(directory.isProvenGone(identity));
	offerAfter(61_000, [...list(4), record('e4', 'daemon-2')]);
	t.true(directory.isProvenGone(identity));
});
