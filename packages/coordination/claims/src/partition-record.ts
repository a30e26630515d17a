/** Ownership records of partitions. */
import {z} from 'zod';
import type {Revision} from '@turmericbay/types';
import {claimRetentionMilliseconds, clockSkewMilliseconds, partitionCount} from './key.js';

export const partitionsPrefix = '/turmericbay/claims/partitions/';
export const partitionKey = (partition: number): string => `${partitionsPrefix}${String(partition).padStart(2, '0')}`;

const identitySchema = z.object({instance: z.string(), incarnation: z.string()});

const recordSchema = z.object({
	owner: identitySchema,
	/** Session under which the owner's records are complete. */
	session: z.string(),
	epoch: z.int().min(1),
	/** Wall clock of the owner when it took the partition. */
	takenAt: z.number(),
	complete: z.boolean(),
	/** Keys dated before this have claims that are lost; 0 if there are none. */
	incompleteBefore: z.number(),
	/** Until then an earlier owner can have refused attempts without a record. */
	refusedAt: z.number(),
	/** Earlier owners whose segments can hold claims that have not expired. */
	sources: z.array(identitySchema.extend({endedAt: z.number()})),
});

export type PartitionRecord = z.infer<typeof recordSchema>;
export type StoredRecord = {readonly record: PartitionRecord; readonly revision: Revision};

export const decodeRecord = (value: string): PartitionRecord | undefined => {
	try {
		return recordSchema.safeParse(JSON.parse(value)).data;
	} catch {
		return undefined;
	}
};

export const partitionOfKey = (key: string): number | undefined => {
	const partition = Number(key.slice(partitionsPrefix.length));
	return Number.isInteger(partition) && partition < partitionCount ? partition : undefined;
};

type Taker = {readonly owner: PartitionRecord['owner']; readonly session: string; readonly now: number};

const withSource = (record: PartitionRecord, now: number): PartitionRecord['sources'] => [
	...record.sources.filter(({incarnation, endedAt}) =>
		incarnation !== record.owner.incarnation && endedAt + claimRetentionMilliseconds >= now),
	{...record.owner, endedAt: now},
];

export const firstRecord = ({owner, session, now}: Taker): PartitionRecord => ({
	owner, session, epoch: 1, takenAt: now, complete: true, incompleteBefore: 0, refusedAt: 0, sources: [],
});

/**
 * After an owner that is gone. Its refusals left no record, and without its
 * session neither did what it granted from memory.
 */
export const takenOverRecord = (record: PartitionRecord, complete: boolean, {owner, session, now}: Taker): PartitionRecord => ({
	owner,
	session,
	epoch: record.epoch + 1,
	takenAt: now,
	complete: complete && record.complete,
	incompleteBefore: complete ? record.incompleteBefore : now + clockSkewMilliseconds,
	refusedAt: now,
	sources: withSource(record, now),
});

/** The successor has no session in the record yet; it writes its own when it begins to serve. */
export const handedOverRecord = (record: PartitionRecord, options: {
	readonly to: PartitionRecord['owner']; readonly refusedAt: number; readonly incompleteBefore: number; readonly now: number;
}): PartitionRecord => ({
	owner: options.to,
	session: '',
	epoch: record.epoch + 1,
	takenAt: options.now,
	complete: options.incompleteBefore < options.now,
	incompleteBefore: options.incompleteBefore,
	refusedAt: options.refusedAt,
	sources: withSource(record, options.now),
});
