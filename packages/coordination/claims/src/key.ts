/**
 * Idempotency keys carry their time: a UUIDv7 (RFC 9562) or a ticket
 * `tbt_<time>_<partition>_<random>`, time in milliseconds since the Unix epoch.
 */
import {randomBytes} from 'node:crypto';
import {hashText} from '@turmericbay/membership';

export const partitionCount = 64;

/** A key older than this is refused, so claims need not be kept for longer. */
export const maximumKeyAgeMilliseconds = 3_600_000;

/** How far wall clocks of instances and callers may differ. */
export const clockSkewMilliseconds = 5000;

/** A refusal as not run is passed on to the caller within this time of the question, or not at all. */
export const tellWithinMilliseconds = 3000;

/** Claims are kept a little longer than keys are accepted, for the difference of clocks. */
export const claimRetentionMilliseconds = maximumKeyAgeMilliseconds + (12 * clockSkewMilliseconds);

export type ParsedKey = {
	/** The key in its one spelling. */
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
	/** Ahead of this clock, but an instance with another clock can have accepted it. */
	Ahead = 'ahead',
	/** So far ahead that no instance can have accepted it. */
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
