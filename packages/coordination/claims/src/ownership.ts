/** Decides who should own each partition and which records this instance changes for that. */
import {rankByRendezvous} from '@turmericbay/membership';
import {InstanceRole, InstanceState, unknownIncarnation} from '@turmericbay/types';
import type {
	AvailabilityZone, InstanceDirectory, InstanceId, InstanceRecord, ProcessIdentity,
} from '@turmericbay/types';
import {partitionCount} from './key.js';
import type {PartitionRecord, StoredRecord} from './partition-record.js';

const ownersPerZone = 2;
const handBackMilliseconds = 60_000;

export type OwnerPlan = {
	/** The processes that should own partitions, as far as they are known. */
	readonly owners: ReadonlyMap<InstanceId, {readonly identity: ProcessIdentity; readonly zone: AvailabilityZone}>;
	/** The instance that should own each partition; empty if no entry instance is listed. */
	readonly byPartition: readonly InstanceId[];
};

const findLive = (directory: InstanceDirectory, without: InstanceId | undefined): InstanceRecord[] =>
	directory.instances().filter(({role, state, instance}) =>
		role === InstanceRole.Entry && state === InstanceState.Live && instance !== without);

const planFor = (live: readonly InstanceRecord[]): OwnerPlan => {
	const zones = new Set(live.map(({zone}) => zone));
	const chosen = new Set([...zones].flatMap(zone => rankByRendezvous({
		subject: 'claims owner', candidates: live.filter(record => record.zone === zone).map(({instance}) => instance),
	}).slice(0, ownersPerZone)));
	// Nothing is handed to an instance of which it is not known which process runs on it.
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
 * Only live entry instances own partitions; `without` leaves out an instance
 * that is stopping. The plan is made anew only when these instances change.
 */
export const createOwnerPlanner = (directory: InstanceDirectory): ((without?: InstanceId) => OwnerPlan) => {
	let signature: string | undefined;
	let plan: OwnerPlan = {owners: new Map(), byPartition: []};
	return without => {
		const live = findLive(directory, without);
		const next = live.map(({instance, incarnation, zone}) => `${zone} ${instance} ${incarnation}`).join('\n');
		if (next !== signature) {
			signature = next;
			plan = planFor(live);
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
	/** Partitions that this process can give away now. */
	readonly releasable: ReadonlySet<number>;
	/** True if this process may take partitions: it is listed, has a session and does not stop. */
	readonly mayTake: boolean;
	readonly isStopping: boolean;
	readonly now: number;
};

const isSame = (left: ProcessIdentity, right: ProcessIdentity) =>
	left.instance === right.instance && left.incarnation === right.incarnation;

/** The partitions of one owner that is gone. */
const findTakeOver = ({plan, self, records, isProvenGone}: OwnershipView): OwnershipStep | undefined => {
	let from: ProcessIdentity | undefined;
	const partitions: number[] = [];
	for (const [partition, {record}] of records) {
		const matches = from ? isSame(from, record.owner) : isProvenGone(record.owner);
		if (matches && plan.byPartition[partition] === self.instance && !isSame(record.owner, self)) {
			from = record.owner;
			partitions.push(partition);
		}
	}

	return from && {type: 'take-over', from, partitions};
};

/**
 * A process that gave the partition away a moment ago is stopping, or sees
 * another list; handing it back would move it to and fro.
 */
const hasGivenAway = (record: PartitionRecord, identity: ProcessIdentity, now: number) =>
	record.sources.some(source => isSame(source, identity) && now - source.endedAt < handBackMilliseconds);

/**
 * The process that should own the partition instead of this one. A process that
 * stops also takes the next in rank, if the first gave the partition away.
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
		.find(identity => identity !== undefined && identity.instance !== self.instance && !hasGivenAway(record, identity, now));
};

const findHandOver = ({plan, self, records, releasable, now, isStopping}: OwnershipView): OwnershipStep | undefined => {
	let to: ProcessIdentity | undefined;
	const partitions: number[] = [];
	for (const partition of releasable) {
		const record = records.get(partition)?.record;
		const successor = record && findSuccessor({
			partition, record, self, plan, now, isStopping,
		});
		if (successor && isSame(record.owner, self) && (!to || isSame(to, successor))) {
			to = successor;
			partitions.push(partition);
		}
	}

	return to && {type: 'hand-over', to, partitions};
};

/** The next step; each changes records of one kind and one other process at a time. */
export const findOwnershipStep = (view: OwnershipView): OwnershipStep | undefined => {
	if (view.mayTake) {
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
