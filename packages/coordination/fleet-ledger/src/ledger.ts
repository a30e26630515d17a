/**
 * Adapter of the fleet ledger: each tick reads the state, carries out the actions
 * whose executor is this process, and proposes the next state.
 */
import type {
	Clock, InstanceControl, InstanceId, KeyValueStore, PoolName, RegionName,
} from '@turmericbay/types';
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import {buildView} from './build-view.js';
import type {ViewPorts} from './build-view.js';
import type {ReportEvent} from './events.js';
import {completeAction, proposeNextState} from './propose.js';
import {createGoneProcessTracker} from './gone-processes.js';
import {createPoolResolver} from './pool-resolver.js';
import {createStateStore} from './state-store.js';
import {
	createFleetKey, isSameProcess, MovePhase, StepPhase,
} from './state.js';
import type {FleetState, MoveRecord, StepRecord} from './state.js';
import {defaultTiming} from './view.js';
import type {FleetRules} from './view.js';

/**
 * Maximum age of the instance list for a proposal: an older one may miss failures
 * and new entry instances. A process that has been listed for this time is
 * therefore on the list of every proposer.
 */
const maximumListAgeMilliseconds = 5000;
/** Bounds the staleness of the state on instances that neither propose nor execute, in case a peer's message is lost. */
const idleReadIntervalMilliseconds = 5000;
/** Delay between consecutive ranks, so that usually only one process proposes a state. */
const proposalDelayPerRankMilliseconds = 3000;

export type FleetLedgerOptions = {
	readonly region: RegionName;
	readonly store: Pick<KeyValueStore, 'read' | 'transact'>;
	readonly control: InstanceControl;
	readonly clock: Clock;
	/** Overrides rules that are not part of the document. */
	readonly rules?: Partial<Omit<FleetRules, 'pools' | 'maintenance'>>;
	readonly report?: ReportEvent;
} & ViewPorts;

export type FleetLedger = {
	/** Reads the state, carries out actions and proposes; does nothing while an earlier call is in progress. */
	tick(): Promise<void>;
	/**
	 * The pool in which the instance may get work; undefined while the instance is
	 * out of service, and always undefined until `isReady`.
	 */
	effectivePool(instance: InstanceId): PoolName | undefined;
	/**
	 * True once `effectivePool` returns pools; until then no instance gets work. A
	 * starting process becomes ready when it is on the list of every proposer, which
	 * then waits for its confirmation.
	 */
	isReady(): boolean;
	/** Fleet revision of the state that `effectivePool` uses, to be sent to the peers; 0 before the first read. */
	fleetRevision(): number;
	state(): FleetState | undefined;
};

const listOwnActions = (state: FleetState, identity: ViewPorts['identity']): Array<StepRecord | MoveRecord> => [
	...state.steps.filter(step => step.phase === StepPhase.Rebooting && isSameProcess(step.executor, identity)),
	...state.moves.filter(move => move.phase === MovePhase.Released && isSameProcess(move.executor, identity)),
];

/** Position of this process among the listed entry instances; lower ranks propose first. Safety does not depend on the order. */
const findProposerRank = ({directory, identity}: ViewPorts): number | undefined => {
	const entries = directory.instances().filter(record => record.role === InstanceRole.Entry).toSorted((left, right) => left.instance < right.instance ? -1 : 1);
	const rank = entries.findIndex(record => isSameProcess(record, identity));
	return rank === -1 ? undefined : rank;
};

const createActionRunner = (control: InstanceControl, report: ReportEvent) => async (record: StepRecord | MoveRecord): Promise<boolean> => {
	const {instance} = record;
	const run = async () => {
		if ('destination' in record) {
			return control.assignPool({instance, pool: record.destination});
		}

		const drained = await control.requestDrain({instance});
		return drained.isErr() ? drained : control.requestReboot({instance});
	};

	const result = await run();
	if (result.isErr()) {
		const action = 'destination' in record ? `assignment of ${instance} to pool ${record.destination}` : `drain and reboot of ${instance}`;
		report({type: 'control-failed', message: `${action} failed: ${result.error.message}`});
	}

	return result.isOk();
};

/** Delays a proposal by the rank of this process; a proposal of another revision restarts the delay. */
const createProposalDelay = (clock: Clock) => {
	let pending: {revision: number; since: number} | undefined;
	return (next: FleetState | undefined, rank: number): boolean => {
		const now = clock.monotonicMilliseconds();
		if (!next) {
			pending = undefined;
			return false;
		}

		if (pending?.revision !== next.revision) {
			pending = {revision: next.revision, since: now};
		}

		return now - pending.since >= rank * proposalDelayPerRankMilliseconds;
	};
};

/**
 * True while the incarnation of a listed entry instance is unknown. A drain would
 * wait for the confirmation of that unknown process, which never comes.
 */
const hasUnknownIncarnation = (directory: ViewPorts['directory']): boolean => directory.instances()
	.some(({role, incarnation}) => role === InstanceRole.Entry && incarnation === unknownIncarnation);

const buildRules = (options: FleetLedgerOptions): FleetRules | undefined => {
	const document = options.configuration.current()?.document;
	return document && {
		maximumZonesAtOnce: 1, maximumPlannedSteps: 8, failedRebootsToStop: 2, timing: defaultTiming, ...options.rules, pools: document.pools, maintenance: document.maintenance,
	};
};

export const createFleetLedger = (options: FleetLedgerOptions): FleetLedger => {
	const {identity, directory, clock, peers} = options;
	const report = options.report ?? (() => undefined);
	const states = createStateStore({key: createFleetKey(options.region), store: options.store, report});
	const goneProcesses = createGoneProcessTracker(directory);
	const runAction = createActionRunner(options.control, report);
	const isProposalDue = createProposalDelay(clock);
	let readAt = Number.NEGATIVE_INFINITY;
	const resolvePool = createPoolResolver(directory);
	let listedSince: number | undefined;
	/** Set by the first read that starts at least `maximumListAgeMilliseconds` after this process was first listed. */
	let isReady = false;
	let isRunning = false;

	const isReadDue = (rank: number | undefined): boolean => {
		const known = states.current();
		return known === undefined
			|| !isReady
			|| rank === 0
			|| listOwnActions(known, identity).length > 0
			|| clock.monotonicMilliseconds() - readAt >= idleReadIntervalMilliseconds
			|| peers.confirmations().some(confirmation => confirmation.fleetRevision > known.revision);
	};

	const refresh = async (): Promise<boolean> => {
		const startedAt = clock.monotonicMilliseconds();
		const isRefreshed = await states.refresh();
		if (isRefreshed) {
			readAt = startedAt;
			// Every list that is fresh enough for a proposal now contains this process, so later drains wait for its confirmation; earlier drains are in the state read.
			isReady ||= listedSince !== undefined && startedAt - listedSince >= maximumListAgeMilliseconds;
		}

		return isRefreshed;
	};

	const completeOwnAction = async (record: StepRecord | MoveRecord): Promise<void> => {
		const known = states.current();
		if (!known || !await runAction(record)) {
			return;
		}

		const next = completeAction({
			state: known, self: identity, instance: record.instance, now: clock.wallMilliseconds(),
		});
		if (next) {
			await states.replace(next);
		}
	};

	const propose = async (rank: number): Promise<void> => {
		const known = states.current();
		const rules = buildRules(options);
		const listAge = directory.ageMilliseconds();
		if (!known || !rules || listAge === undefined || listAge > maximumListAgeMilliseconds || hasUnknownIncarnation(directory)) {
			return;
		}

		const next = proposeNextState({
			state: known, view: buildView(options, known, goneProcesses, clock.monotonicMilliseconds()), rules, now: clock.wallMilliseconds(),
		});
		if (isProposalDue(next, rank) && next) {
			await states.replace(next);
		}
	};

	const runRound = async (): Promise<void> => {
		const rank = findProposerRank(options);
		listedSince ??= rank === undefined ? undefined : clock.monotonicMilliseconds();
		if (isReadDue(rank) && !await refresh()) {
			return;
		}

		const known = states.current();
		for (const record of known ? listOwnActions(known, identity) : []) {
			// Sequential, since each completion writes a state based on the previous one.
			// eslint-disable-next-line no-await-in-loop
			await completeOwnAction(record);
		}

		// A process that is not listed must not become an executor: no other process could later prove that it has ended.
		if (rank !== undefined && (states.isWritable() || await refresh())) {
			await propose(rank);
		}
	};

	return {
		async tick() {
			if (isRunning) {
				return;
			}

			isRunning = true;
			try {
				await runRound();
			} finally {
				isRunning = false;
			}
		},
		effectivePool(instance) {
			const known = states.current();
			return known && isReady ? resolvePool(known, instance) : undefined;
		},
		isReady: () => isReady && states.current() !== undefined,
		fleetRevision: () => states.current()?.revision ?? 0,
		state: () => states.current(),
	};
};
