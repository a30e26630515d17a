import test from 'ava';
import {handoverExtensionMilliseconds, leaseExtensionMilliseconds} from '../src/owned-workers.js';
import {ownerLeaseMilliseconds} from '../src/ownership.js';

// Guards against tasks that run twice: a new owner assumes that leases have expired which the previous owner still extends.
test('a previous owner extends no lease for longer than the new owner expects', t => {
	const expected = leaseExtensionMilliseconds - ownerLeaseMilliseconds;
	// After a crash or an outage the new owner takes over `ownerLeaseMilliseconds` after the last renewal at the earliest.
	t.true(leaseExtensionMilliseconds <= ownerLeaseMilliseconds + expected);
	// At a handover it may take over immediately.
	t.true(handoverExtensionMilliseconds < expected);
	t.true(handoverExtensionMilliseconds > 0);
});
