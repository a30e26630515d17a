/**
 * Idempotency keys contain their creation time. A key is a UUIDv7 (RFC 9562)
 * made by the caller, or a ticket `tbt_<time>_<partition>_<random>` issued by
 * this service; its time is in milliseconds since the Unix epoch.
 */
import {randomBytes} from 'node:crypto';
import {hashText} from '@turmericbay/membership';

export const partitionCount = 64;

/** Older keys are refused, so that their claims can be deleted. */
export const maximumKeyAgeMilliseconds = 3_600_000;

/** Largest tolerated difference between the wall clocks of instances and callers. */
export const clockSkewMilliseconds = 5000;

/** A not-run answer reaches the caller within this time after the claim began; later it is answered as unknown. */
export const maximumRefusalDelayMilliseconds = 3000;

/** Claims are kept longer than keys are accepted, to allow for clock skew. */
export const claimRetentionMilliseconds = maximumKeyAgeMilliseconds + (12 * clockSkewMilliseconds);

export type ParsedKey = {
	/** The key in lower case. */
	readonly key: string;
	readonly timeMilliseconds: number;
	readonly partition: number;
};

const uuidPattern = /^[\da-f]{8}-[\da-f]{4}-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}$/v;
const ticketPattern = /^tbt_(?<time>\d{13})_(?<partition>\d{2})_[\da-f]{32}$/v;

export const parseKey = (text: string): ParsedKey | undefined => {
	const key = text.toLowerCase();
	if (uuidPattern.test(key)) {
		return {
			key,
			timeMilliseconds: Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16),
			partition: hashText(key) % partitionCount,
		};
	}

	const groups = ticketPattern.exec(key)?.groups;
	const partition = Number(groups?.partition);
	return groups && partition < partitionCount
		? {key, timeMilliseconds: Number(groups.time), partition}
		: undefined;
};

export const createTicket = (options: {readonly timeMilliseconds: number; readonly partition: number}): string =>
	`tbt_${options.timeMilliseconds}_${String(options.partition).padStart(2, '0')}_${randomBytes(16).toString('hex')}`;

export enum KeyAge {
	Acceptable = 'acceptable',
	TooOld = 'too-old',
	/** Ahead of this clock, but an instance whose clock is ahead may have accepted the key. */
	Ahead = 'ahead',
	/** Too far ahead for any instance to have accepted the key. */
	FarAhead = 'far-ahead',
}

export const classifyKeyAge = (options: {readonly timeMilliseconds: number; readonly now: number}): KeyAge => {
	const age = options.now - options.timeMilliseconds;
	if (age > maximumKeyAgeMilliseconds) {
		return KeyAge.TooOld;
	}

	if (age >= -clockSkewMilliseconds) {
		return KeyAge.Acceptable;
	}

	return age >= -2 * clockSkewMilliseconds ? KeyAge.Ahead : KeyAge.FarAhead;
};
