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

const getRefusal = (outcome: ReturnType<ReturnType<typeof createFixture>['offerAfter']>) =>
	outcome.type === 'refused' ? outcome.refusal : undefined;

// Guards against reclaiming the units of a live process that the lagging list does not contain yet.
test('a process that was never listed is not proven gone', t => {
	const {directory, offerAfter} = createFixture();
	offerAfter(0, list(5));
	offerAfter(60_000, list(5));
	t.false(directory.isProvenGone({instance: 'new', incarnation: 'x'}));
});

// Guards against treating a process as gone because the age of a list was underestimated.
test('absence counts only in a list that is at least 2 s newer', t => {
	const {directory, offerAfter} = createFixture();
	const gone = {instance: 'e4', incarnation: 'i4'};
	offerAfter(0, list(5));
	offerAfter(1000, list(4));
	t.false(directory.isProvenGone(gone));
	offerAfter(1000, list(4));
	t.true(directory.isProvenGone(gone));
	t.false(directory.isProvenGone({instance: 'e3', incarnation: 'i3'}));
});

// Guards against waiting forever for a process that was restarted on its instance.
test('another incarnation of the same instance proves the earlier one gone', t => {
	const {directory, offerAfter} = createFixture();
	offerAfter(0, list(5));
	offerAfter(3000, [...list(4), record('e4', 'second')]);
	t.true(directory.isProvenGone({instance: 'e4', incarnation: 'i4'}));
	t.false(directory.isProvenGone({instance: 'e4', incarnation: 'second'}));
});

// Guards against an outdated copy from a slow peer that adds ended processes or omits new ones.
test('a list that is older than the newest one is refused', t => {
	const {directory, offerAfter} = createFixture();
	offerAfter(10_000, list(5));
	t.is(getRefusal(offerAfter(1000, list(3), 5000)), OfferRefusal.Older);
	t.is(directory.instances().length, 5);
});

// Guards against a faulty list service that makes all instances count as gone.
test('a suddenly empty or halved list is refused until the fifth read returned it', t => {
	for (const [offered, refusal] of [[[], OfferRefusal.Empty], [list(2), OfferRefusal.RoleHalved]] as const) {
		const {directory, offerAfter} = createFixture();
		offerAfter(0, list(5));
		const refusals = Array.from({length: 4}, () => getRefusal(offerAfter(1000, offered)));
		t.deepEqual(refusals, Array.from({length: 4}, () => refusal));
		t.is(directory.instances().length, 5);
		t.is(offerAfter(1000, offered).type, 'adopted');
		t.true(directory.isProvenGone({instance: 'e4', incarnation: 'i4'}));
	}
});

// Guards against counting copies of one read, passed on by several peers, as separate reads.
test('copies of one read count as one read', t => {
	const {offerAfter} = createFixture();
	offerAfter(0, list(5));
	const outcomes = Array.from({length: 20}, () => offerAfter(10, list(1)).type);
	t.true(outcomes.every(type => type === 'refused'));
});

// Guards against units that cannot be reclaimed after all entry instances were restarted.
test('a process marked as previously listed is proven gone by a list read a minute later', t => {
	const {directory, offerAfter} = createFixture();
	const gone = {instance: 'old', incarnation: 'x'};
	offerAfter(0, list(3));
	directory.markPreviouslyListed(gone);
	offerAfter(59_000, list(3));
	t.false(directory.isProvenGone(gone));
	offerAfter(1000, list(3));
	t.true(directory.isProvenGone(gone));
});

// Guards against reclaiming the units of a live process whose instance has not told its incarnation yet.
test('a listed instance of unknown incarnation proves nothing about its processes', t => {
	const {directory, offerAfter} = createFixture();
	const identity = {instance: 'e4', incarnation: 'daemon-1'};
	offerAfter(0, [...list(4), record('e4', unknownIncarnation)]);
	directory.markPreviouslyListed(identity);
	offerAfter(120_000, [...list(4), record('e4', unknownIncarnation)]);
	t.false(directory.isProvenGone(identity));
	offerAfter(61_000, [...list(4), record('e4', 'daemon-2')]);
	t.true(directory.isProvenGone(identity));
});
