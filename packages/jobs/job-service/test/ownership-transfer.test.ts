import test from 'ava';
import {createTransferRequester} from '../src/ownership-transfer.js';
import type {OwnerRecord} from '../src/records.js';

const createOwnerRecord = (cores?: number): OwnerRecord => ({
	instance: 'small', address: '10.0.0.1:80', epoch: 2, leaseId: '1', ...(cores !== undefined && {cores}),
});

// Guards against a small instance that became the owner during an outage and stays, while accepted jobs pile up.
test('an instance of twice the size asks for the ownership once it has reached the store for some seconds', t => {
	let now = 0;
	const requester = createTransferRequester({cores: 1.35, now: () => now});
	const small = createOwnerRecord(0.324);
	t.false(requester.shouldRequest(small, true));
	now = 2900;
	t.false(requester.shouldRequest(small, true));
	now = 3000;
	t.true(requester.shouldRequest(small, true));
	t.false(requester.shouldRequest(createOwnerRecord(0.7), true));
	t.false(requester.shouldRequest(createOwnerRecord(), true));
	t.false(requester.shouldRequest(undefined, true));
});

// Guards against the ownership going to an instance that is about to lose the store again.
test('an interruption of the contact to the store starts the wait anew', t => {
	let now = 0;
	const requester = createTransferRequester({cores: 2, now: () => now});
	const small = createOwnerRecord(0.5);
	requester.shouldRequest(small, true);
	now = 4000;
	t.false(requester.shouldRequest(small, false));
	now = 5000;
	t.false(requester.shouldRequest(small, true));
	now = 8000;
	t.true(requester.shouldRequest(small, true));
});
