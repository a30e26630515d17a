/** The stored record of a partition: its owner, epoch and earlier owners. */
import {z} from 'zod';
import type {Revision} from '@turmericbay/types';
import {claimRetentionMilliseconds, clockSkewMilliseconds, partitionCount} from './key.js';

export const partitionsPrefix = '/turmericbay/claims/partitions/';
export const partitionKey = (partition: number): string => `${partitionsPrefix}${String(partition).padStart(2, '0')}`;

const identitySchema = z.object({instance: z.string(), incarnation: z.string()});

const recordSchema = z.object({
	owner: identitySchema,
	/** While this session is active, every claim that the owner granted is stored; empty until the owner may grant claims from memory. */
	session: z.string(),
	epoch: z.int().min(1),
	/** Wall clock of the writer when the present owner got the partition. */
	takenAt: z.number(),
	complete: z.boolean(),
	/** Claims of keys dated before this may be lost; 0 if none are. */
	incompleteBefore: z.number(),
	/** Until then an earlier owner may have given not-run answers without recording them. */
	refusedAt: z.number(),
	/** Earlier owners whose segments may contain claims that have not expired. */
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

export const parsePartitionKey = (key: string): number | undefined => {
	const partition = Number(key.slice(partitionsPrefix.length));
	return Number.isInteger(partition) && partition < partitionCount ? partition : undefined;
};

type NewOwner = {readonly owner: PartitionRecord['owner']; readonly session: string; readonly now: number};

const addSource = (record: PartitionRecord, now: number): PartitionRecord['sources'] => [
	...record.sources.filter(({incarnation, endedAt}) =>
		incarnation !== record.owner.incarnation && endedAt + claimRetentionMilliseconds >= now),
	{...record.owner, endedAt: now},
];

export const createFirstRecord = ({owner, session, now}: NewOwner): PartitionRecord => ({
	owner, session, epoch: 1, takenAt: now, complete: true, incompleteBefore: 0, refusedAt: 0, sources: [],
});

/**
 * Record of a partition whose owner is gone. Refusals of that owner are not
 * recorded, and claims it granted from memory may be lost unless `complete`.
 */
export const createTakeoverRecord = (record: PartitionRecord, complete: boolean, {owner, session, now}: NewOwner): PartitionRecord => ({
	owner,
	session,
	epoch: record.epoch + 1,
	takenAt: now,
	complete: complete && record.complete,
	incompleteBefore: complete ? record.incompleteBefore : now + clockSkewMilliseconds,
	refusedAt: now,
	sources: addSource(record, now),
});

/** Record of a partition that its owner gives up. The successor adds its own session once it has read the record. */
export const createHandoverRecord = (record: PartitionRecord, options: {
	readonly to: PartitionRecord['owner']; readonly refusedAt: number; readonly incompleteBefore: number; readonly now: number;
}): PartitionRecord => ({
	owner: options.to,
	session: '',
	epoch: record.epoch + 1,
	takenAt: options.now,
	complete: options.incompleteBefore < options.now,
	incompleteBefore: options.incompleteBefore,
	refusedAt: options.refusedAt,
	sources: addSource(record, options.now),
});
