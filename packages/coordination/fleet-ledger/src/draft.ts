/** Working copy of the fleet state for one proposal; records are replaced, never modified in place. */
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
	/** Fleet revision of the proposed state. */
	readonly revision: number;
	changed: boolean;
	/** False while `members` is still the table of the input state. */
	hasCopiedMembers: boolean;
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
	hasCopiedMembers: false,
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

/** Copies the large member table at most once per proposal, on the first change. */
const getWritableMembers = (draft: Draft): Record<InstanceId, MemberRecord> => {
	if (!draft.hasCopiedMembers) {
		draft.members = {...draft.members};
		draft.hasCopiedMembers = true;
	}

	return draft.members;
};

export const setMember = (draft: Draft, instance: InstanceId, member: MemberRecord) => {
	getWritableMembers(draft)[instance] = member;
	draft.changed = true;
};

export const postponeMember = (draft: Draft, instance: InstanceId) => {
	const member = draft.members[instance];
	if (member) {
		setMember(draft, instance, {...member, notBefore: draft.now + draft.rules.timing.retryDelayMilliseconds});
	}
};

/** Replaces each record by the result of `advance`, or removes it if that is undefined. Returns the same array if nothing changes. */
export const advanceRecords = <Row>(draft: Draft, records: Row[], advance: (record: Row) => Row | undefined): Row[] => {
	const next: Row[] = [];
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

export const findPlacement = (draft: Draft, instance: InstanceId): InstancePlacement | undefined => {
	const member = draft.members[instance];
	return member && {
		instance, pool: draft.assignedPools[instance] ?? member.pool, zone: member.zone, rack: member.rack,
	};
};

/** True while a step or move keeps the instance out of service. */
export const hasActiveRecord = (draft: Draft, instance: InstanceId): boolean =>
	draft.steps.some(step => step.instance === instance && isStepActive(step))
	|| draft.moves.some(move => move.instance === instance && isMoveActive(move));

export const hasFailed = (draft: Draft, instance: InstanceId): boolean =>
	draft.failures.some(failure => failure.instance === instance);

export const recordFailure = (draft: Draft, placement: InstancePlacement, cause: FailureCause) => {
	const {instance, pool, zone, rack} = placement;
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

const isDrainConfirmedBy = (draft: Draft, record: {instance: InstanceId; revision: number}, identity: ProcessIdentity): boolean =>
	draft.view.confirmations.some(confirmation => confirmation.identity.instance === identity.instance
		&& confirmation.identity.incarnation === identity.incarnation
		&& confirmation.fleetRevision >= record.revision
		&& !confirmation.busyInstances.has(record.instance))
	|| draft.view.hasNoWorkLeft(identity);

/**
 * True if no entry instance can have or send work on the instance: each one that
 * was known when draining began, and each one known now, has confirmed the
 * revision of the drain or a later one, or has been gone for the longest run time.
 */
export const isDrainConfirmed = (draft: Draft, record: {instance: InstanceId; revision: number; awaited: ProcessIdentity[]}): boolean =>
	!draft.view.hasRunningTasks(record.instance)
	&& [...record.awaited, ...draft.view.entryInstances].every(identity => isDrainConfirmedBy(draft, record, identity));
