/** Working copy of the fleet state for one proposal; records are replaced, never changed in place. */
import type {InstanceId, PoolName, ProcessIdentity} from '@turmericbay/types';
import {FailureCause, isMoveActive, isStepActive} from './state.js';
import type {
	InstancePlacement, FailureRecord, FleetState, MemberRecord, MoveRecord, StepRecord,
} from './state.js';
import type {FleetRules, FleetView} from './view.js';

export type ProposalInput = {
	readonly state: FleetState;
	readonly view: FleetView;
	readonly rules: FleetRules;
	/** Wall-clock milliseconds. */
	readonly now: number;
};

export type Draft = {
	readonly view: FleetView;
	readonly rules: FleetRules;
	readonly now: number;
	/** Revision that the write of this draft will carry. */
	readonly revision: number;
	changed: boolean;
	/** False while `members` still is the table of the input. */
	ownsMembers: boolean;
	steps: StepRecord[];
	moves: MoveRecord[];
	failures: FailureRecord[];
	assignedPools: Record<InstanceId, PoolName>;
	members: Record<InstanceId, MemberRecord>;
};

export const createDraft = ({state, view, rules, now}: ProposalInput): Draft => ({
	view,
	rules,
	now,
	revision: state.revision + 1,
	changed: false,
	ownsMembers: false,
	steps: state.steps,
	moves: state.moves,
	failures: state.failures,
	assignedPools: state.assignedPools,
	members: state.members,
});

export const finishDraft = (draft: Draft): FleetState => ({
	revision: draft.revision,
	steps: draft.steps,
	moves: draft.moves,
	failures: draft.failures,
	assignedPools: draft.assignedPools,
	members: draft.members,
});

/** The member table is large, so it is copied once per proposal and only when it changes. */
const takeMembers = (draft: Draft): Record<InstanceId, MemberRecord> => {
	if (!draft.ownsMembers) {
		draft.members = {...draft.members};
		draft.ownsMembers = true;
	}

	return draft.members;
};

export const setMember = (draft: Draft, instance: InstanceId, member: MemberRecord) => {
	takeMembers(draft)[instance] = member;
	draft.changed = true;
};

export const postponeMember = (draft: Draft, instance: InstanceId) => {
	const member = draft.members[instance];
	if (member) {
		setMember(draft, instance, {...member, notBefore: draft.now + draft.rules.timing.retryDelayMilliseconds});
	}
};

/** Replaces each record by the results of `advance`; returning the record itself keeps it. */
export const advanceRecords = <Entry>(draft: Draft, records: Entry[], advance: (record: Entry) => Entry | undefined): Entry[] => {
	const next: Entry[] = [];
	let isSame = true;
	for (const record of records) {
		const result = advance(record);
		isSame &&= result === record;
		if (result !== undefined) {
			next.push(result);
		}
	}

	if (isSame) {
		return records;
	}

	draft.changed = true;
	return next;
};

export const findDomain = (draft: Draft, instance: InstanceId): InstancePlacement | undefined => {
	const member = draft.members[instance];
	return member && {
		instance, pool: draft.assignedPools[instance] ?? member.pool, zone: member.zone, rack: member.rack,
	};
};

export const hasPlannedWork = (draft: Draft, instance: InstanceId): boolean =>
	draft.steps.some(step => step.instance === instance && isStepActive(step))
	|| draft.moves.some(move => move.instance === instance && isMoveActive(move));

export const hasFailed = (draft: Draft, instance: InstanceId): boolean =>
	draft.failures.some(failure => failure.instance === instance);

export const recordFailure = (draft: Draft, domain: InstancePlacement, cause: FailureCause) => {
	const {instance, pool, zone, rack} = domain;
	draft.failures = [
		...draft.failures.filter(failure => failure.instance !== instance),
		{
			instance, pool, zone, rack, cause, since: draft.now,
		},
	];
	draft.changed = true;
};

export const countFailedReboots = (draft: Draft): number =>
	draft.failures.filter(failure => failure.cause === FailureCause.Maintenance).length;

const isConfirmedBy = (draft: Draft, record: {instance: InstanceId; revision: number}, identity: ProcessIdentity): boolean =>
	draft.view.confirmations.some(confirmation => confirmation.identity.instance === identity.instance
		&& confirmation.identity.incarnation === identity.incarnation
		&& confirmation.fleetRevision >= record.revision
		&& !confirmation.busyInstances.has(record.instance))
	|| draft.view.hasNoWorkLeft(identity);

/**
 * True if no entry instance can hold or send work on the instance: each one
 * that was known when draining began, and each one known now, has confirmed
 * at the revision of the drain or later, or has no work left after its end.
 */
export const isDrained = (draft: Draft, record: {instance: InstanceId; revision: number; awaited: ProcessIdentity[]}): boolean =>
	!draft.view.hasRunningTasks(record.instance)
	&& [...record.awaited, ...draft.view.entryInstances].every(identity => isConfirmedBy(draft, record, identity));
