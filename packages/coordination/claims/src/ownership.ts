/** Decides which process should own each partition, and the next change of records that this process makes for it. */
import {rankByRendezvous} from '@turmericbay/membership';
import {InstanceRole, InstanceState, unknownIncarnation} from '@turmericbay/types';
import type {
	AvailabilityZone, InstanceDirectory, InstanceId, InstanceRecord, ProcessIdentity,
} from '@turmericbay/types';
import {partitionCount} from './key.js';
import type {PartitionRecord, StoredRecord} from './partition-record.js';

const ownersPerZone = 2;
/** A partition is not handed to a process that gave it up less than this time ago. */
const handBackDelayMilliseconds = 60_000;

export type OwnerPlan = {
	/** Processes that should own partitions; an instance whose process is not known yet is missing. */
	readonly owners: ReadonlyMap<InstanceId, {readonly identity: ProcessIdentity; readonly zone: AvailabilityZone}>;
	/** The instance that should own each partition; empty if no entry instance is listed. */
	readonly byPartition: readonly InstanceId[];
};

const listLiveEntries = (directory: InstanceDirectory, without: InstanceId | undefined): InstanceRecord[] =>
	directory.instances().filter(({role, state, instance}) =>
		role === InstanceRole.Entry && state === InstanceState.Live && instance !== without);

const createPlan = (live: readonly InstanceRecord[]): OwnerPlan => {
	const zones = new Set(live.map(({zone}) => zone));
	const chosen = new Set([...zones].flatMap(zone => rankByRendezvous({
		subject: 'claims owner', candidates: live.filter(record => record.zone === zone).map(({instance}) => instance),
	}).slice(0, ownersPerZone)));
	// A partition is handed over to a process, so instances without a known process are left out.
	const owners = new Map(live.filter(({instance, incarnation}) => chosen.has(instance) && incarnation !== unknownIncarnation)
		.map(({instance, incarnation, zone}) => [instance, {identity: {instance, incarnation}, zone}]));
	const candidates = [...chosen];
	return {
		owners,
		byPartition: candidates.length === 0
			? []
			: Array.from({length: partitionCount}, (_, partition) => rankByRendezvous({subject: `partition ${partition}`, candidates})[0]!),
	};
};

/**
 * Only live entry instances own partitions; `without` excludes an instance that
 * is stopping. The plan is computed again only when these instances change.
 */
export const createOwnerPlanner = (directory: InstanceDirectory): ((without?: InstanceId) => OwnerPlan) => {
	let signature: string | undefined;
	let plan: OwnerPlan = {owners: new Map(), byPartition: []};
	return without => {
		const live = listLiveEntries(directory, without);
		const next = live.map(({instance, incarnation, zone}) => `${zone} ${instance} ${incarnation}`).join('\n');
		if (next !== signature) {
			signature = next;
			plan = createPlan(live);
		}

		return plan;
	};
};

export type OwnershipStep
	= | {readonly type: 'create'; readonly partitions: readonly number[]}
		| {readonly type: 'take-over'; readonly from: ProcessIdentity; readonly partitions: readonly number[]}
		| {readonly type: 'hand-over'; readonly to: ProcessIdentity; readonly partitions: readonly number[]};

type OwnershipView = {
	readonly self: ProcessIdentity;
	readonly plan: OwnerPlan;
	readonly records: ReadonlyMap<number, StoredRecord>;
	readonly isProvenGone: (identity: ProcessIdentity) => boolean;
	/** Owned partitions that can be handed over now. */
	readonly releasable: ReadonlySet<number>;
	/** True if this process may become the owner of partitions: it is listed, has a session and is not stopping. */
	readonly canAcquire: boolean;
	readonly isStopping: boolean;
	readonly now: number;
};

const isSameProcess = (left: ProcessIdentity, right: ProcessIdentity) =>
	left.instance === right.instance && left.incarnation === right.incarnation;

/** Partitions planned for this process whose owner is gone; those of one such owner at a time. */
const findTakeOver = ({plan, self, records, isProvenGone}: OwnershipView): OwnershipStep | undefined => {
	let from: ProcessIdentity | undefined;
	const partitions: number[] = [];
	for (const [partition, {record}] of records) {
		const matches = from ? isSameProcess(from, record.owner) : isProvenGone(record.owner);
		if (matches && plan.byPartition[partition] === self.instance && !isSameProcess(record.owner, self)) {
			from = record.owner;
			partitions.push(partition);
		}
	}

	return from && {type: 'take-over', from, partitions};
};

/**
 * A process that handed the partition over recently is stopping or sees another
 * instance list; handing it back would move the partition back and forth.
 */
const hasRecentlyHandedOver = (record: PartitionRecord, identity: ProcessIdentity, now: number) =>
	record.sources.some(source => isSameProcess(source, identity) && now - source.endedAt < handBackDelayMilliseconds);

/**
 * The process that should own the partition instead of this one. A stopping
 * process falls back to the next one in rank if the first one handed the
 * partition over recently.
 */
export const findSuccessor = (options: {
	readonly partition: number;
	readonly record: PartitionRecord;
	readonly self: ProcessIdentity;
	readonly plan: OwnerPlan;
	readonly now: number;
	readonly isStopping?: boolean;
}): ProcessIdentity | undefined => {
	const {partition, record, self, plan, now, isStopping = false} = options;
	const desired = plan.byPartition[partition] ?? '';
	const ranked = isStopping
		? [desired, ...rankByRendezvous({subject: `partition ${partition}`, candidates: [...plan.owners.keys()]})]
		: [desired];
	return ranked
		.map(instance => plan.owners.get(instance)?.identity)
		.find(identity => identity !== undefined && identity.instance !== self.instance && !hasRecentlyHandedOver(record, identity, now));
};

const findHandOver = ({plan, self, records, releasable, now, isStopping}: OwnershipView): OwnershipStep | undefined => {
	let to: ProcessIdentity | undefined;
	const partitions: number[] = [];
	for (const partition of releasable) {
		const record = records.get(partition)?.record;
		const successor = record && findSuccessor({
			partition, record, self, plan, now, isStopping,
		});
		if (successor && isSameProcess(record.owner, self) && (!to || isSameProcess(to, successor))) {
			to = successor;
			partitions.push(partition);
		}
	}

	return to && {type: 'hand-over', to, partitions};
};

/** The next change of ownership. A step concerns one other process at most. */
export const findOwnershipStep = (view: OwnershipView): OwnershipStep | undefined => {
	if (view.canAcquire) {
		const partitions = view.plan.byPartition.flatMap((owner, partition) =>
			owner === view.self.instance && !view.records.has(partition) ? [partition] : []);
		if (partitions.length > 0) {
			return {type: 'create', partitions};
		}

		const takeOver = findTakeOver(view);
		if (takeOver) {
			return takeOver;
		}
	}

	return findHandOver(view);
};
