/** Updates the member table and the failures, and cancels drains and prunes records accordingly. */
import type {InstanceRecord} from '@turmericbay/types';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import {measureBudgets} from './budgets.js';
import {
	advanceRecords, findPlacement, hasFailed, postponeMember, recordFailure, setMember,
} from './draft.js';
import type {Draft} from './draft.js';
import {
	FailureCause, isStepActive, MovePhase, StepPhase,
} from './state.js';
import type {MoveRecord, StepRecord} from './state.js';

export const isInService = (draft: Draft, instance: string): boolean =>
	draft.view.instances.get(instance)?.state === InstanceState.Live && draft.view.isHealthy(instance);

const hasMemberChanged = (draft: Draft, record: InstanceRecord): boolean => {
	const member = draft.members[record.instance];
	return member?.pool !== record.pool || member.zone !== record.zone || member.rack !== record.rack;
};

export const recordMembers = (draft: Draft) => {
	for (const record of draft.view.instances.values()) {
		if (record.role !== InstanceRole.Entry && hasMemberChanged(draft, record)) {
			const {pool, zone, rack} = record;
			const previous = draft.members[record.instance];
			setMember(draft, record.instance, {
				pool, zone, rack, maintainedAt: previous?.maintainedAt ?? 0, notBefore: previous?.notBefore ?? 0,
			});
		}
	}
};

/** True while a step reboots the instance, which is then expected to be out of service. */
const isExpectedOutOfService = (draft: Draft, instance: string): boolean =>
	draft.steps.some(step => step.instance === instance && (step.phase === StepPhase.Rebooting || step.phase === StepPhase.Verifying));

export const recordFailures = (draft: Draft) => {
	for (const instance of Object.keys(draft.members)) {
		const placement = findPlacement(draft, instance);
		if (placement && !isInService(draft, instance) && !hasFailed(draft, instance) && !isExpectedOutOfService(draft, instance)) {
			recordFailure(draft, placement, FailureCause.Observed);
		}
	}
};

const removeMember = (draft: Draft, instance: string) => {
	const {[instance]: removedMember, ...members} = draft.members;
	const {[instance]: removedPool, ...assignedPools} = draft.assignedPools;
	draft.members = members;
	draft.assignedPools = assignedPools;
	draft.changed = true;
};

export const clearFailures = (draft: Draft) => {
	draft.failures = advanceRecords(draft, draft.failures, failure => {
		const isRemoved = !draft.view.instances.has(failure.instance)
			&& draft.now - failure.since >= draft.rules.timing.removeMissingAfterMilliseconds;
		if (isRemoved) {
			removeMember(draft, failure.instance);
		}

		return isRemoved || isInService(draft, failure.instance) ? undefined : failure;
	});
};

/**
 * Cancels drains that have timed out, drains of failed instances, and drains whose
 * budget a failure has exceeded: then the capacity of an instance that still works
 * matters more than its maintenance. A drain can be cancelled safely as long as the
 * platform has not been asked to act on the instance.
 */
export const cancelDrains = (draft: Draft) => {
	const keepOrCancel = <Row extends StepRecord | MoveRecord>(record: Row): Row | undefined => {
		if (record.phase !== StepPhase.Draining) {
			return record;
		}

		if (draft.now - record.changedAt >= draft.rules.timing.drainTimeoutMilliseconds) {
			postponeMember(draft, record.instance);
			return undefined;
		}

		const isBudgetExceeded = measureBudgets(draft, draft.rules).isExceeded(record);
		return isBudgetExceeded || hasFailed(draft, record.instance) ? undefined : record;
	};

	// One record at a time, so that no more drains are cancelled than the budget requires.
	for (const step of draft.steps) {
		draft.steps = advanceRecords(draft, draft.steps, other => other === step ? keepOrCancel(other) : other);
	}

	for (const move of draft.moves) {
		draft.moves = advanceRecords(draft, draft.moves, other => other === move ? keepOrCancel(other) : other);
	}
};

/** The newest finished records are kept for operators. */
const maximumFinishedRecords = 20;

const pruneFinished = <Row>(draft: Draft, records: Row[], isFinished: (record: Row) => boolean): Row[] => {
	let excess = records.filter(record => isFinished(record)).length - maximumFinishedRecords;
	return excess <= 0 ? records : advanceRecords(draft, records, record => isFinished(record) && excess-- > 0 ? undefined : record);
};

export const pruneRecords = (draft: Draft) => {
	draft.steps = pruneFinished(draft, draft.steps, step => step.phase === StepPhase.Done);
	draft.moves = pruneFinished(draft, draft.moves, move => move.phase === MovePhase.Joined);
};

export const hasActiveStep = (draft: Draft, zone: string): boolean =>
	draft.steps.some(step => step.zone === zone && isStepActive(step));
