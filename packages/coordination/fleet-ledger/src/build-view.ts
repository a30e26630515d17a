/** Builds the input of a decision from the ports of an entry instance. */
import type {QueueDeclaration} from '@turmericbay/document';
import type {
	InstanceDirectory, InstanceId, ProcessIdentity,
} from '@turmericbay/types';
import {InstanceRole} from '@turmericbay/types';
import type {BudgetRules} from './budgets.js';
import type {GoneProcessTracker} from './gone-processes.js';
import {formatIdentity} from './state.js';
import type {FleetState} from './state.js';
import type {RevisionConfirmation, FleetView, WantedMove} from './view.js';

/** The part of the configuration port that the ledger uses. */
export type FleetConfiguration = {
	current(): {readonly document: BudgetRules & {readonly queues: Readonly<Record<string, Pick<QueueDeclaration, 'maximumRunMilliseconds'>>>}} | undefined;
};

export type FleetPeers = {
	/** The newest confirmation received from each other entry instance. */
	confirmations(): readonly RevisionConfirmation[];
};

export type FleetObservation = {
	/**
	 * Instances that this entry instance has chosen for work or sent work to. An
	 * instance counts from the moment it is chosen, in the same turn of the event
	 * loop; otherwise a confirmation would miss work that is about to be sent.
	 */
	busyInstances(): ReadonlySet<InstanceId>;
	isHealthy(instance: InstanceId): boolean;
	hasRunningTasks(instance: InstanceId): boolean;
};

export type ViewPorts = {
	readonly identity: ProcessIdentity;
	readonly directory: InstanceDirectory;
	readonly configuration: FleetConfiguration;
	readonly peers: FleetPeers;
	readonly observation: FleetObservation;
	readonly wantedMoves?: () => readonly WantedMove[];
};

const listEntryInstances = ({identity, directory, peers}: ViewPorts): ProcessIdentity[] => {
	const known: ProcessIdentity[] = [
		identity,
		...directory.instances().filter(record => record.role === InstanceRole.Entry),
		...peers.confirmations().map(confirmation => confirmation.identity),
	];
	const byName = new Map(known.map(({instance, incarnation}) => [formatIdentity({instance, incarnation}), {instance, incarnation}]));
	return [...byName.values()];
};

const listRecordedProcesses = (state: FleetState): ProcessIdentity[] =>
	[...state.steps, ...state.moves].flatMap(record => record.executor ? [...record.awaited, record.executor] : record.awaited);

export const buildView = (ports: ViewPorts, state: FleetState, goneProcesses: GoneProcessTracker, now: number): FleetView => {
	const {identity, directory, observation} = ports;
	const queues = Object.values(ports.configuration.current()?.document.queues ?? {});
	const longestRunMilliseconds = Math.max(0, ...queues.map(queue => queue.maximumRunMilliseconds));
	const entryInstances = listEntryInstances(ports);
	goneProcesses.observe([...entryInstances, ...listRecordedProcesses(state)], now);
	const own: RevisionConfirmation = {identity, fleetRevision: state.revision, busyInstances: observation.busyInstances()};
	return {
		self: identity,
		instances: new Map(directory.instances().map(record => [record.instance, record])),
		entryInstances,
		confirmations: [...ports.peers.confirmations(), own],
		wantedMoves: ports.wantedMoves?.() ?? [],
		isProvenGone: other => goneProcesses.isProvenGone(other),
		hasNoWorkLeft: other => (goneProcesses.goneForMilliseconds(other, now) ?? Number.NEGATIVE_INFINITY) >= longestRunMilliseconds,
		isHealthy: instance => observation.isHealthy(instance),
		hasRunningTasks: instance => observation.hasRunningTasks(instance),
	};
};
