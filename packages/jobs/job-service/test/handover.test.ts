import test from 'ava';
import {leaseExtensionMilliseconds, handoverExtensionMilliseconds} from '../src/owned-workers.js';
import {ownerLeaseMilliseconds} from '../src/ownership.js';

// Guards against work that runs twice: a successor counts on the end of leases that a former owner still extends.
test('a former owner extends no lease for longer than its successor expects', t => {
	const expected = leaseExtensionMilliseconds - ownerLeaseMilliseconds;
	// After a crash or an outage the successor comes a lease of the owner's key after the last renewal at the earliest.
	t.true(leaseExtensionMilliseconds <= ownerLeaseMilliseconds + expected);
	// At a handover it may come at once.
	t.true(handoverExtensionMilliseconds < expected);
	t.true(handoverExtensionMilliseconds > 0);
});
