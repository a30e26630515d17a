import test from 'ava';
import {ok} from 'neverthrow';
import {createLeaseRenewal} from '../src/ownership.js';

type Store = Parameters<typeof createLeaseRenewal>[0]['store'];

const createFixture = () => {
	let monotonic = 1000;
	let wall = 50_000;
	const responses: Array<() => void> = [];
	const store = {
		async renewLease() {
			await new Promise<void>(resolve => {
				responses.push(resolve);
			});
			return ok({timeToLiveSeconds: 2});
		},
	};
	const renewal = createLeaseRenewal({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Only the members that are used.
		store: store as unknown as Store, clock: {now: () => monotonic, wallNow: () => wall},
		ownership: {epoch: 1, leaseId: '1', commitRevision: 1}, renewedAt: monotonic, onLost: () => undefined,
	});
	return {
		renewal,
		countRenewals: () => responses.length,
		advance(milliseconds: number) {
			monotonic += milliseconds;
			wall += milliseconds;
		},
		/** Suspends the machine; the monotonic clock does not count that time. */
		suspend(milliseconds: number) {
			wall += milliseconds;
		},
		async respond(index: number) {
			responses[index]!();
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		},
	};
};

// Guards against a resumed process that acts on a lease that has expired meanwhile, because a response was handled before the next tick.
test('after a suspension the lease is not valid until a renewal that was sent later is acknowledged', async t => {
	const {renewal, countRenewals, advance, suspend, respond} = createFixture();
	advance(400);
	renewal.tick();
	t.is(countRenewals(), 1);
	t.true(renewal.isValid());
	suspend(5000);
	await respond(0);
	t.false(renewal.isValid());
	advance(10);
	renewal.tick();
	t.false(renewal.isValid());
	t.is(countRenewals(), 2);
	await respond(1);
	t.true(renewal.isValid());
});

test('a suspension is also noticed where only the validity is asked', t => {
	const {renewal, advance, suspend} = createFixture();
	advance(10);
	suspend(5000);
	t.false(renewal.isValid());
});

// Guards against leases of workers that a suspended previous owner extends beyond the time at which its successor starts their tasks elsewhere.
test('a suspension is also noticed where only the latest renewal is asked, after the end of the ownership too', t => {
	for (const isEnded of [false, true]) {
		const {renewal, advance, suspend} = createFixture();
		advance(10);
		t.is(renewal.renewedAt(), 1000);
		if (isEnded) {
			renewal.end();
		}

		suspend(3000);
		t.is(renewal.renewedAt(), Number.NEGATIVE_INFINITY);
	}
});
