/**
 * Decision core of the fleet ledger: computes the next state from the recorded
 * state and a view of the fleet. The result is written by compare-and-swap, so a
 * decision based on an outdated state has no effect.
 */
import type {ProcessIdentity} from '@turmericbay/types';
import {measureBudgets} from './budgets.js';
import type {BudgetUsage} from './budgets.js';
import {
	advanceRecords, countFailedReboots, createDraft, findPlacement, finishDraft, hasFailed, hasActiveRecord, isDrainConfirmed,
	postponeMember, recordFailure, setMember,
} from './draft.js';
import type {Draft, ProposalInput} from './draft.js';
import {
	clearFailures, hasActiveStep, isInService, pruneRecords, recordFailures, recordMembers, cancelDrains,
} from './failures.js';
import {
	FailureCause, isSameProcess, isStepActive, MovePhase, StepPhase,
} from './state.js';
import type {
	InstancePlacement, FleetState, MoveRecord, StepRecord,
} from './state.js';
import type {WantedMove} from './view.js';

const millisecondsPerDay = 86_400_000;

const compareText = (left: string, right: string) => left < right ? -1 : Number(left > right);

/** Orders instances by zone and rack, so that a faulty change first affects few failure domains. */
export const comparePlacements = (left: InstancePlacement, right: InstancePlacement): number =>
	compareText(left.zone, right.zone) || compareText(left.rack, right.rack) || compareText(left.instance, right.instance);

/** Only one process acts on a record; another one takes over only when that process is proven gone. */
const chooseExecutor = (draft: Draft, current: ProcessIdentity | undefined): ProcessIdentity | undefined =>
	current !== undefined && !draft.view.isProvenGone(current) ? current : draft.view.self;

const enterPhase = <Row extends StepRecord | MoveRecord>(draft: Draft, record: Row, phase: Row['phase']): Row =>
	({
		...record, phase, revision: draft.revision, changedAt: draft.now,
	});

const replaceExecutor = <Row extends StepRecord | MoveRecord>(draft: Draft, record: Row): Row => {
	const executor = chooseExecutor(draft, record.executor);
	return executor === record.executor ? record : {...record, executor};
};

const finishStep = (draft: Draft, step: StepRecord): StepRecord => {
	const member = draft.members[step.instance];
	if (member) {
		setMember(draft, step.instance, {...member, maintainedAt: draft.now});
	}

	return enterPhase(draft, step, StepPhase.Done);
};

const verifyStep = (draft: Draft, step: StepRecord): StepRecord => {
	const listed = draft.view.instances.get(step.instance);
	if (listed && listed.incarnation !== step.incarnation && isInService(draft, step.instance)) {
		return finishStep(draft, step);
	}

	if (draft.now - step.changedAt < draft.rules.timing.verifyTimeoutMilliseconds) {
		return step;
	}

	recordFailure(draft, step, FailureCause.Maintenance);
	postponeMember(draft, step.instance);
	return enterPhase(draft, step, StepPhase.Done);
};

const advanceStep = (draft: Draft, step: StepRecord): StepRecord | undefined => {
	switch (step.phase) {
		case StepPhase.Planned: {
			return hasFailed(draft, step.instance) || !draft.members[step.instance] ? undefined : step;
		}

		case StepPhase.Draining: {
			return isDrainConfirmed(draft, step)
				? {...enterPhase(draft, step, StepPhase.Rebooting), executor: draft.view.self}
				: step;
		}

		case StepPhase.Rebooting: {
			return replaceExecutor(draft, step);
		}

		case StepPhase.Verifying: {
			return verifyStep(draft, step);
		}

		case StepPhase.Done: {
			return step;
		}
	}
};

const advanceMove = (draft: Draft, move: MoveRecord): MoveRecord => {
	switch (move.phase) {
		case MovePhase.Draining: {
			return isDrainConfirmed(draft, move)
				? {...enterPhase(draft, move, MovePhase.Released), executor: draft.view.self}
				: move;
		}

		case MovePhase.Released: {
			return replaceExecutor(draft, move);
		}

		case MovePhase.Joined: {
			return move;
		}
	}
};

const beginDraining = (draft: Draft, budget: BudgetUsage, step: StepRecord): StepRecord => {
	const placement = findPlacement(draft, step.instance);
	const listed = draft.view.instances.get(step.instance);
	if (!placement || !listed || hasActiveRecord(draft, step.instance) || hasFailed(draft, step.instance) || !budget.hasRoom(placement)) {
		return step;
	}

	budget.consume(placement);
	return {
		...enterPhase(draft, step, StepPhase.Draining), ...placement, incarnation: listed.incarnation, awaited: [...draft.view.entryInstances],
	};
};

const beginSteps = (draft: Draft) => {
	if (!draft.rules.maintenance.enabled || countFailedReboots(draft) >= draft.rules.failedRebootsToStop) {
		return;
	}

	const budget = measureBudgets(draft, draft.rules);
	const zones = new Set(draft.steps.filter(step => isStepActive(step)).map(step => step.zone));
	draft.steps = advanceRecords(draft, draft.steps, step => {
		if (step.phase !== StepPhase.Planned || (!zones.has(step.zone) && zones.size >= draft.rules.maximumZonesAtOnce)) {
			return step;
		}

		const begun = beginDraining(draft, budget, step);
		if (begun !== step) {
			zones.add(step.zone);
		}

		return begun;
	});
};

const listDuePlacements = (draft: Draft): InstancePlacement[] => {
	const periodMilliseconds = draft.rules.maintenance.periodDays * millisecondsPerDay;
	const unfinished = new Set(draft.steps.filter(step => step.phase !== StepPhase.Done).map(step => step.instance));
	return Object.entries(draft.members)
		.filter(([instance, member]) => !unfinished.has(instance)
			&& draft.now >= member.notBefore
			&& draft.now - member.maintainedAt >= periodMilliseconds
			&& !hasFailed(draft, instance)
			&& !hasActiveRecord(draft, instance))
		.map(([instance]) => findPlacement(draft, instance))
		.filter(placement => placement !== undefined)
		.toSorted((left, right) => Number(hasActiveStep(draft, right.zone)) - Number(hasActiveStep(draft, left.zone)) || comparePlacements(left, right));
};

/** Announces the next steps; a planned step does not take its instance out of service. */
const planSteps = (draft: Draft) => {
	if (!draft.rules.maintenance.enabled) {
		draft.steps = advanceRecords(draft, draft.steps, step => step.phase === StepPhase.Planned ? undefined : step);
		return;
	}

	const room = draft.rules.maximumPlannedSteps - draft.steps.filter(step => step.phase === StepPhase.Planned).length;
	if (room <= 0) {
		return;
	}

	const planned = listDuePlacements(draft).slice(0, room).map((placement): StepRecord => ({
		...placement, phase: StepPhase.Planned, revision: draft.revision, changedAt: draft.now, awaited: [], incarnation: '',
	}));
	if (planned.length > 0) {
		draft.steps = [...draft.steps, ...planned];
		draft.changed = true;
	}
};

/** True if the pool keeps its minimum after one more instance leaves it. */
const exceedsPoolMinimum = (draft: Draft, pool: string): boolean => {
	const remaining = Object.keys(draft.members).filter(instance => findPlacement(draft, instance)?.pool === pool
		&& !hasActiveRecord(draft, instance)
		&& !hasFailed(draft, instance));
	return remaining.length > (draft.rules.pools[pool]?.minimumInstances ?? 0);
};

const beginMove = (draft: Draft, wanted: WantedMove) => {
	const placement = findPlacement(draft, wanted.instance);
	const isPossible = placement !== undefined
		&& placement.pool !== wanted.destination
		&& draft.rules.pools[wanted.destination] !== undefined
		&& !hasActiveRecord(draft, wanted.instance)
		&& !hasFailed(draft, wanted.instance)
		&& draft.now >= (draft.members[wanted.instance]?.notBefore ?? 0)
		&& draft.view.instances.has(wanted.instance)
		&& exceedsPoolMinimum(draft, placement.pool)
		&& measureBudgets(draft, draft.rules).hasRoom(placement);
	if (isPossible) {
		draft.steps = draft.steps.filter(step => step.instance !== wanted.instance || step.phase !== StepPhase.Planned);
		draft.moves = [...draft.moves, {
			...placement, phase: MovePhase.Draining, destination: wanted.destination, revision: draft.revision, changedAt: draft.now, awaited: [...draft.view.entryInstances],
		}];
		draft.changed = true;
	}
};

/** Returns the next state, or undefined if nothing changes. */
export const proposeNextState = (input: ProposalInput): FleetState | undefined => {
	const draft = createDraft(input);
	recordMembers(draft);
	draft.steps = advanceRecords(draft, draft.steps, step => advanceStep(draft, step));
	draft.moves = advanceRecords(draft, draft.moves, move => advanceMove(draft, move));
	clearFailures(draft);
	recordFailures(draft);
	cancelDrains(draft);
	for (const wanted of draft.view.wantedMoves) {
		beginMove(draft, wanted);
	}

	beginSteps(draft);
	planSteps(draft);
	pruneRecords(draft);
	return draft.changed ? finishDraft(draft) : undefined;
};

/**
 * Returns the state after the platform has carried out the action of a record, or
 * undefined if this process is not the executor of such a record.
 */
export const completeAction = (options: {state: FleetState; self: ProcessIdentity; instance: string; now: number}): FleetState | undefined => {
	const {state, self, instance, now} = options;
	const revision = state.revision + 1;
	const isExecutedBySelf = (record: StepRecord | MoveRecord) => record.instance === instance && isSameProcess(record.executor, self);
	const step = state.steps.find(other => isExecutedBySelf(other) && other.phase === StepPhase.Rebooting);
	if (step) {
		const verifying: StepRecord = {
			...step, phase: StepPhase.Verifying, revision, changedAt: now,
		};
		return {...state, revision, steps: state.steps.map(other => other === step ? verifying : other)};
	}

	const move = state.moves.find(other => isExecutedBySelf(other) && other.phase === MovePhase.Released);
	if (!move) {
		return undefined;
	}

	const joined: MoveRecord = {
		...move, phase: MovePhase.Joined, revision, changedAt: now,
	};
	return {
		...state,
		revision,
		moves: state.moves.map(other => other === move ? joined : other),
		assignedPools: {...state.assignedPools, [instance]: move.destination},
	};
};
