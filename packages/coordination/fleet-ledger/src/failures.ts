/** Systems over members and failures: who exists, who is out of service without a plan. */
import type {InstanceRecord} from '@turmericbay/types';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import {measureBudgets} from './budgets.js';
import {
	advanceRecords, findDomain, hasFailed, postponeMember, recordFailure, setMember,
} from './draft.js';
import type {Draft} from './draft.js';
import {
	FailureCause, isStepActive, MovePhase, StepPhase,
} from './state.js';
import type {MoveRecord, StepRecord} from './state.js';

export const isInService = (draft: Draft, instance: string): boolean =>
	draft.view.instances.get(instance)?.state === InstanceState.Live && draft.view.isHealthy(instance);

const needsRecord = (draft: Draft, record: InstanceRecord): boolean => {
	const member = draft.members[record.instance];
	return member?.pool !== record.pool || member.zone !== record.zone || member.rack !== record.rack;
};

export const recordMembers = (draft: Draft) => {
	for (const record of draft.view.instances.values()) {
		if (record.role !== InstanceRole.Entry && needsRecord(draft, record)) {
			const {pool, zone, rack} = record;
			const previous = draft.members[record.instance];
			setMember(draft, record.instance, {
				pool, zone, rack, maintainedAt: previous?.maintainedAt ?? 0, notBefore: previous?.notBefore ?? 0,
			});
		}
	}
};

/** An instance that a step has taken out of service is missing on purpose. */
const isExpectedOut = (draft: Draft, instance: string): boolean =>
	draft.steps.some(step => step.instance === instance && (step.phase === StepPhase.Rebooting || step.phase === StepPhase.Verifying));

export const recordFailures = (draft: Draft) => {
	for (const instance of Object.keys(draft.members)) {
		const domain = findDomain(draft, instance);
		if (domain && !isInService(draft, instance) && !hasFailed(draft, instance) && !isExpectedOut(draft, instance)) {
			recordFailure(draft, domain, FailureCause.Observed);
		}
	}
};

const forgetMember = (draft: Draft, instance: string) => {
	const {[instance]: removedMember, ...members} = draft.members;
	const {[instance]: removedPool, ...assignedPools} = draft.assignedPools;
	draft.members = members;
	draft.assignedPools = assignedPools;
	draft.changed = true;
};

export const clearFailures = (draft: Draft) => {
	draft.failures = advanceRecords(draft, draft.failures, failure => {
		const isForgotten = !draft.view.instances.has(failure.instance)
			&& draft.now - failure.since >= draft.rules.timing.forgetMilliseconds;
		if (isForgotten) {
			forgetMember(draft, failure.instance);
		}

		return isForgotten || isInService(draft, failure.instance) ? undefined : failure;
	});
};

/**
 * Drains that have not gone on to the platform can be taken back at any time;
 * an instance that still serves is worth more than the step when a failure
 * has overdrawn a budget.
 */
export const undoDrains = (draft: Draft) => {
	const keepOrUndo = <Entry extends StepRecord | MoveRecord>(record: Entry): Entry | undefined => {
		if (record.phase !== StepPhase.Draining) {
			return record;
		}

		if (draft.now - record.changedAt >= draft.rules.timing.drainTimeoutMilliseconds) {
			postponeMember(draft, record.instance);
			return undefined;
		}

		const isOverdrawn = measureBudgets(draft, draft.rules).isExceeded(record);
		return isOverdrawn || hasFailed(draft, record.instance) ? undefined : record;
	};

	// One record at a time, so that no more drains are undone than the budget asks for.
	for (const step of draft.steps) {
		draft.steps = advanceRecords(draft, draft.steps, other => other === step ? keepOrUndo(other) : other);
	}

	for (const move of draft.moves) {
		draft.moves = advanceRecords(draft, draft.moves, other => other === move ? keepOrUndo(other) : other);
	}
};

/** Finished records stay for operators to see, the newest ones only. */
const keptFinishedRecords = 20;

const pruneFinished = <Entry>(draft: Draft, records: Entry[], isFinished: (record: Entry) => boolean): Entry[] => {
	let excess = records.filter(record => isFinished(record)).length - keptFinishedRecords;
	return excess <= 0 ? records : advanceRecords(draft, records, record => isFinished(record) && excess-- > 0 ? undefined : record);
};

export const pruneRecords = (draft: Draft) => {
	draft.steps = pruneFinished(draft, draft.steps, step => step.phase === StepPhase.Done);
	draft.moves = pruneFinished(draft, draft.moves, move => move.phase === MovePhase.Joined);
};

export const hasActiveStep = (draft: Draft, zone: string): boolean =>
	draft.steps.some(step => step.zone === zone && isStepActive(step));
