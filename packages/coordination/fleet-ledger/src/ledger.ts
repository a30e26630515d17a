/**
 * Adapter of the fleet ledger: each tick it reads the state, carries out the
 * steps whose executor this process is, and proposes the next state.
 */
import type {
	Clock, InstanceControl, InstanceId, KeyValueStore, PoolName, RegionName,
} from '@turmericbay/types';
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import {buildView} from './build-view.js';
import type {ViewPorts} from './build-view.js';
import type {ReportEvent} from './events.js';
import {completeAction, proposeNextState} from './propose.js';
import {createProofTracker} from './proof.js';
import {createPoolResolver} from './routing-table.js';
import {createStateStore} from './state-store.js';
import {
	createFleetKey, isSameProcess, MovePhase, StepPhase,
} from './state.js';
import type {FleetState, MoveRecord, StepRecord} from './state.js';
import {defaultTiming} from './view.js';
import type {FleetRules} from './view.js';

/** An older list says too little about failures and entry instances to begin anything. */
const maximumListAgeMilliseconds = 5000;
/** Bounds the staleness of instances that neither propose nor execute when a peer message is lost. */
const idleReadIntervalMilliseconds = 5000;
/** Head start of a lower-ranked proposer before the next one proposes the same. */
const proposalDelayPerRankMilliseconds = 3000;

export type FleetLedgerOptions = {
	readonly region: RegionName;
	readonly store: Pick<KeyValueStore, 'read' | 'transact'>;
	readonly control: InstanceControl;
	readonly clock: Clock;
	/** Replaces single rules that the document does not hold. */
	readonly rules?: Partial<Omit<FleetRules, 'pools' | 'maintenance'>>;
	readonly report?: ReportEvent;
} & ViewPorts;

export type FleetLedger = {
	/** One round of reading, acting and proposing; a call during a running round does nothing. */
	tick(): Promise<void>;
	/**
	 * The pool in which the instance may get work; undefined while it is out of
	 * service, and for a starting process until others know that it has to confirm.
	 */
	effectivePool(instance: InstanceId): PoolName | undefined;
	/** True once pools can be told; until then no instance gets work. */
	isReady(): boolean;
	/** Revision that the routing table follows, for the exchange with peers; 0 before the first read. */
	fleetRevision(): number;
	state(): FleetState | undefined;
};

const listOwnActions = (state: FleetState, identity: ViewPorts['identity']): Array<StepRecord | MoveRecord> => [
	...state.steps.filter(step => step.phase === StepPhase.Rebooting && isSameProcess(step.executor, identity)),
	...state.moves.filter(move => move.phase === MovePhase.Released && isSameProcess(move.executor, identity)),
];

/** The lowest-ranked live entry instance proposes first; the order is a hint and safety does not depend on it. */
const rankProposer = ({directory, identity}: ViewPorts): number | undefined => {
	const entries = directory.instances().filter(record => record.role === InstanceRole.Entry).toSorted((left, right) => left.instance < right.instance ? -1 : 1);
	const rank = entries.findIndex(record => isSameProcess(record, identity));
	return rank === -1 ? undefined : rank;
};

const createActor = (control: InstanceControl, report: ReportEvent) => async (record: StepRecord | MoveRecord): Promise<boolean> => {
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
		report({type: 'control-failed', message: `${instance}: ${result.error.message}`});
	}

	return result.isOk();
};

/** Tells when it is this process's turn to write a proposal that stays possible. */
const createTurnTaker = (clock: Clock) => {
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
 * While a listed entry instance has not answered yet, a step would wait for a
 * process that has no name and never confirms.
 */
const isEntryUnknown = (directory: ViewPorts['directory']): boolean => directory.instances()
	.some(({role, incarnation}) => role === InstanceRole.Entry && incarnation === unknownIncarnation);

const buildRules = (options: FleetLedgerOptions): FleetRules | undefined => {
	const document = options.configuration.current()?.document;
	return document && {
		maximumZonesAtOnce: 1, plannedAhead: 8, maximumFailedReboots: 2, timing: defaultTiming, ...options.rules, pools: document.pools, maintenance: document.maintenance,
	};
};

export const createFleetLedger = (options: FleetLedgerOptions): FleetLedger => {
	const {identity, directory, clock, peers} = options;
	const report = options.report ?? (() => undefined);
	const states = createStateStore({key: createFleetKey(options.region), store: options.store, report});
	const proof = createProofTracker(directory);
	const act = createActor(options.control, report);
	const isMyTurn = createTurnTaker(clock);
	let readAt = Number.NEGATIVE_INFINITY;
	const resolvePool = createPoolResolver(directory);
	let listedSince: number | undefined;
	/** Set once every proposer that acts on a fresh list must wait for this process's confirmation. */
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
			// A drain recorded after such a read was decided with this process in the list; an earlier one is in the read.
			isReady ||= listedSince !== undefined && startedAt - listedSince >= maximumListAgeMilliseconds;
		}

		return isRefreshed;
	};

	const actOn = async (record: StepRecord | MoveRecord): Promise<void> => {
		const known = states.current();
		if (!known || !await act(record)) {
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
		if (!known || !rules || listAge === undefined || listAge > maximumListAgeMilliseconds || isEntryUnknown(directory)) {
			return;
		}

		const next = proposeNextState({
			state: known, view: buildView(options, known, proof, clock.monotonicMilliseconds()), rules, now: clock.wallMilliseconds(),
		});
		if (isMyTurn(next, rank) && next) {
			await states.replace(next);
		}
	};

	const runRound = async (): Promise<void> => {
		const rank = rankProposer(options);
		listedSince ??= rank === undefined ? undefined : clock.monotonicMilliseconds();
		if (isReadDue(rank) && !await refresh()) {
			return;
		}

		const known = states.current();
		for (const record of known ? listOwnActions(known, identity) : []) {
			// One at a time: each completion is a write of its own on the state that the previous one left.
			// eslint-disable-next-line no-await-in-loop
			await actOn(record);
		}

		// A process that the list does not show proposes nothing: nobody could prove its end later.
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
