/** Validates the `Claim` message of a requesting instance. */
import {Buffer} from 'node:buffer';
import type {ClaimRequest} from './claim-table.js';
import {classifyKeyAge, KeyAge, parseKey} from './key.js';
import {parseAttempt} from './messages.js';
import type {ClaimMessage} from './messages.js';
import type {Times} from './owned-partition.js';

/** Undefined if the key or the attempt is malformed, or the key is too old or dated ahead. */
export const parseClaimMessage = (message: ClaimMessage, time: Times): {readonly partition: number; readonly request: ClaimRequest} | undefined => {
	const parsed = parseKey(message.key);
	const attempt = parseAttempt(message.attempt);
	return parsed && attempt && classifyKeyAge({timeMilliseconds: parsed.timeMilliseconds, now: time.wall}) === KeyAge.Acceptable
		? {
			partition: parsed.partition,
			request: {
				...message,
				key: parsed.key,
				keyTime: parsed.timeMilliseconds,
				fingerprint: Buffer.from(message.fingerprint).subarray(0, 16).toString('base64url'),
				startedAt: attempt.startedAt,
			},
		}
		: undefined;
};
