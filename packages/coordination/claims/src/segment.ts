/**
 * A segment is a stored value with the records of many claims. Strings that
 * recur in a segment are stored once and referenced by their index.
 */
import {z} from 'zod';
import type {Incarnation} from '@turmericbay/types';
import {ClaimState, createEntry} from './claim-table.js';
import type {ClaimEntry} from './claim-table.js';
import {parseKey} from './key.js';
import {formatAttempt, parseAttempt} from './messages.js';

export const segmentsPrefix = '/turmericbay/claims/segments/';
export const incarnationPrefix = (incarnation: Incarnation): string => `${segmentsPrefix}${incarnation}/`;

/** Segments with new claims. Their keys sort before those of merged segments. */
const rawTier = '0';
/**
 * Sorted after the raw segments, so that a reader that pages through all keys
 * while a block is merged finds each record in at least one of the two tiers.
 */
const mergedTier = '1';

/** Key prefix of the segments of one minute; `block` is the number of the minute since the Unix epoch. */
export const blockPrefix = (options: {incarnation: Incarnation; block: string; merged: boolean}): string =>
	`${incarnationPrefix(options.incarnation)}${options.merged ? mergedTier : rawTier}-${options.block}-`;

export const formatBlock = (minute: number): string => String(minute).padStart(9, '0');
export const formatSequence = (sequence: number): string => String(sequence).padStart(6, '0');

const index = z.int().min(0);
const segmentSchema = z.object({
	names: z.array(z.string()),
	// Partition, team, queue, key, fingerprint, attempt (startedAt, sequence, source), state, counter, refusedAt.
	claims: z.array(z.tuple([index, index, index, z.string(), z.string(), index, index, index, z.enum(ClaimState), index, index])),
});

const createNameTable = () => {
	const indexes = new Map<string, number>();
	const names: string[] = [];
	return {
		names,
		indexOf(name: string) {
			let position = indexes.get(name);
			if (position === undefined) {
				position = names.push(name) - 1;
				indexes.set(name, position);
			}

			return position;
		},
	};
};

/** Writes `Recording` claims as `Running`, since they may be granted as soon as the segment is stored. */
export const encodeSegment = (entries: readonly ClaimEntry[]): string => {
	const {names, indexOf} = createNameTable();
	const claims = entries.map(entry => {
		const attempt = parseAttempt(entry.attempt) ?? {startedAt: 0, sequence: 0, source: entry.attempt};
		const state = entry.state === ClaimState.Recording ? ClaimState.Running : entry.state;
		return [
			entry.partition,
			indexOf(entry.team),
			indexOf(entry.queue),
			entry.key,
			entry.fingerprint,
			attempt.startedAt,
			attempt.sequence,
			indexOf(attempt.source),
			state,
			entry.counter,
			entry.refusedAt,
		];
	});
	return JSON.stringify({names, claims});
};

/** Undefined if the value is malformed. */
export const decodeSegment = (value: string, block: string | undefined): ClaimEntry[] | undefined => {
	let segment: z.infer<typeof segmentSchema>;
	try {
		segment = segmentSchema.parse(JSON.parse(value));
	} catch {
		return undefined;
	}

	return segment.claims.map(([partition, team, queue, key, fingerprint, startedAt, sequence, source, state, counter, refusedAt]) => ({
		...createEntry(partition, {
			team: segment.names[team] ?? '',
			queue: segment.names[queue] ?? '',
			key,
			keyTime: parseKey(key)?.timeMilliseconds ?? 0,
			fingerprint,
			attempt: formatAttempt({startedAt, sequence, source: segment.names[source] ?? ''}),
		}),
		state,
		counter,
		refusedAt,
		block,
	}));
};
