/**
 * Simulated entry instances: processes that are killed, restarted and paused,
 * a lagging instance list, and calls between processes.
 */
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceRecord, ProcessIdentity} from '@turmericbay/types';
import {createInstanceDirectory} from '../../src/index.js';
import type {WritableInstanceDirectory} from '../../src/index.js';
import {createProcess} from './simulation.js';
import type {SimulatedProcess, Simulation} from './simulation.js';
import {createSimulatedStore, createStoreClient} from './store.js';
import type {SimulatedStore, StoreClient} from './store.js';

export type Member<Component> = {
	readonly identity: ProcessIdentity;
	readonly zone: string;
	readonly process: SimulatedProcess;
	readonly store: StoreClient;
	readonly directory: WritableInstanceDirectory;
	readonly component: Component;
};

export type ComponentFactory<Component> = (member: Omit<Member<Component>, 'component'>) => Component;

/** Rejects a call to a peer that gets no response. */
export class PeerUnreachableError extends Error {
	override name = 'PeerUnreachableError';
}

const listIntervalMilliseconds = 1000;
const peerTimeoutMilliseconds = 500;

export type Fleet<Component> = {
	readonly store: SimulatedStore;
	/** Members by position; a restart replaces the member at its position. */
	readonly members: Array<Member<Component>>;
	/** `faultsEnded` is set once all faults have ended for good. */
	readonly network: {lossProbability: number; isolatedZones: Set<string>; listLagMilliseconds: number; listBroken: boolean; faultsEnded: boolean};
	kill(position: number): void;
	restart(position: number): void;
	/** Runs the handler in the other process; rejects with a `PeerUnreachableError` after a timeout. */
	callPeer<Answer>(options: {
		readonly from: Omit<Member<Component>, 'component'>;
		readonly to: ProcessIdentity;
		readonly handle: (component: Component) => Promise<Answer>;
	}): Promise<Answer>;
};

export const createFleet = <Component>(options: {
	readonly simulation: Simulation;
	readonly zones: readonly string[];
	readonly count: number;
	readonly createComponent: (member: Omit<Member<Component>, 'component'>, fleet: Fleet<Component>) => Component;
}): Fleet<Component> => {
	const {simulation, zones, count, createComponent} = options;
	const {clock, random} = simulation;
	const store = createSimulatedStore(simulation);
	const listHistory: Array<{at: number; records: readonly InstanceRecord[]}> = [];
	let incarnations = 0;

	const readList = (lagMilliseconds: number) => {
		const at = clock.monotonicMilliseconds() - lagMilliseconds;
		return (listHistory.findLast(entry => entry.at <= at) ?? listHistory[0])?.records ?? [];
	};

	const recordInstanceList = () => {
		listHistory.push({
			at: clock.monotonicMilliseconds(),
			records: fleet.members.filter(({process}) => process.isAlive()).map(({identity, zone}) => ({
				...identity, address: '127.0.0.1:1', role: InstanceRole.Entry, pool: 'entry', zone, rack: 'r', state: InstanceState.Live,
			})),
		});
	};

	const updateDirectory = ({process, directory}: Omit<Member<Component>, 'component'>) => {
		const {listLagMilliseconds, listBroken} = fleet.network;
		if (listBroken && random() < 0.5) {
			directory.offer({records: [], ageMilliseconds: 0});
			return;
		}

		const records = readList(listLagMilliseconds * random());
		process.after(random() * 20, () => {
			directory.offer({records, ageMilliseconds: 20});
		});
	};

	const start = (position: number) => {
		incarnations += 1;
		const process = createProcess(simulation);
		const base = {
			identity: {instance: `e${String(position).padStart(3, '0')}`, incarnation: `i${incarnations}`},
			zone: zones[position % zones.length]!,
			process,
			store: createStoreClient({simulation, process, store}),
			directory: createInstanceDirectory({clock}),
		};
		fleet.members[position] = {...base, component: createComponent(base, fleet)};
		recordInstanceList();
		updateDirectory(base);
		process.repeat(listIntervalMilliseconds, () => {
			updateDirectory(base);
		});
	};

	const isDisconnected = (from: string, to: string) => from !== to
		&& (fleet.network.isolatedZones.has(from) || fleet.network.isolatedZones.has(to));

	const fleet: Fleet<Component> = {
		store,
		members: [],
		network: {
			lossProbability: 0, isolatedZones: new Set(), listLagMilliseconds: 3000, listBroken: false, faultsEnded: false,
		},
		kill(position) {
			fleet.members[position]!.process.kill();
			recordInstanceList();
		},
		restart(position) {
			start(position);
		},
		async callPeer({from, to, handle}) {
			const {lossProbability} = fleet.network;
			const target = fleet.members.find(({identity}) =>
				identity.instance === to.instance && identity.incarnation === to.incarnation);
			return new Promise((resolve, reject) => {
				from.process.after(peerTimeoutMilliseconds, () => {
					reject(new PeerUnreachableError(`no answer from ${to.instance}`));
				});
				if (!target || isDisconnected(from.zone, target.zone) || random() < lossProbability) {
					return;
				}

				target.process.after(random() * 3, () => {
					void handle(target.component).then(answer => {
						if (!isDisconnected(from.zone, target.zone) && random() >= lossProbability) {
							from.process.after(random() * 3, () => {
								resolve(answer);
							});
						}
					});
				});
			});
		},
	};
	for (let position = 0; position < count; position += 1) {
		start(position);
	}

	return fleet;
};
