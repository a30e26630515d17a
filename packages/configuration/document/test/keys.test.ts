import test from 'ava';
import {createKeyAuthenticator, createTeamKey} from '../src/index.js';
import {createSeededKey} from './documents.js';

const [booking, bookingNext, pricing] = [createSeededKey(1), createSeededKey(2), createSeededKey(3)];
const authenticate = createKeyAuthenticator({
	teams: {
		booking: {share: 1, limit: 1, keys: [booking.declaration, bookingNext.declaration]},
		pricing: {share: 1, limit: 1, keys: [pricing.declaration]},
	},
});

// Guards against a change of the key format or hash, which would invalidate every key in use.
test('the format and hash of a key are stable', t => {
	t.snapshot(booking);
});

// Guards against a team that cannot use an old and a new key at the same time while it replaces one.
test('every key of a team authenticates that team', t => {
	t.deepEqual([booking, bookingNext, pricing].map(key => authenticate(key.presentedKey)?.team), ['booking', 'booking', 'pricing']);
});

// Guards against accepting requests for a team without one of its keys.
test('malformed, unknown and modified keys are refused', t => {
	const [, id, secret] = booking.presentedKey.split('_');
	const other = pricing.presentedKey.split('_')[2];
	const refused = [
		'',
		'tbk',
		`tbk_${id}`,
		`tbk_${id}_`,
		`tbk_${id}_${other}`,
		`tbk_unknown0_${secret}`,
		`${booking.presentedKey}A`,
		booking.presentedKey.toUpperCase(),
		` ${booking.presentedKey}`,
		`${booking.presentedKey}\n`,
		'tbk_'.padEnd(100_000, 'a'),
		`tbk_${id}_${booking.declaration.hash}`,
	];
	t.deepEqual(refused.filter(key => authenticate(key) !== undefined), []);
});

// Guards against keys that are created from the same random bytes.
test('two keys differ in every part', t => {
	const [first, second] = [createTeamKey(), createTeamKey()];
	t.not(first.presentedKey, second.presentedKey);
	t.not(first.declaration.id, second.declaration.id);
	t.not(first.declaration.salt, second.declaration.salt);
});
