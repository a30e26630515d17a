/**
 * The instance directory for the gateway: the platform's instance list with
 * the pools of the fleet ledger. Instances that the ledger has taken out of
 * service have the state leaving.
 */
import type {FleetLedger} from '@turmericbay/fleet-ledger';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceDirectory, InstanceRecord} from '@turmericbay/types';

export type FleetRouting = InstanceDirectory & {
	/** Notifies the gateway if the ledger has changed; called after each tick of the ledger. */
	update(): void;
	/** Ledger revision that the routing tables reflect. */
	appliedRevision(): number;
};

export const createFleetRouting = (options: {
	readonly directory: InstanceDirectory;
	readonly ledger: () => Pick<FleetLedger, 'effectivePool' | 'fleetRevision' | 'isReady'>;
}): FleetRouting => {
	const {directory, ledger} = options;
	const listeners: Array<() => void> = [];
	let appliedRevision = 0;
	let wasReady = false;

	const applyLedger = (record: InstanceRecord): InstanceRecord => {
		if (record.role === InstanceRole.Entry) {
			return record;
		}

		const pool = ledger().effectivePool(record.instance);
		return pool === undefined ? {...record, state: InstanceState.Leaving} : {...record, pool};
	};

	const notifyListeners = () => {
		const revision = ledger().fleetRevision();
		wasReady = ledger().isReady();
		for (const listener of listeners) {
			listener();
		}

		// Set only after the routing tables have been updated: peers rely on it as proof that this instance sends no new work to a drained instance.
		appliedRevision = revision;
	};

	directory.subscribe(notifyListeners);
	return {
		instances: () => directory.instances().map(record => applyLedger(record)),
		ageMilliseconds: () => directory.ageMilliseconds(),
		isProvenGone: identity => directory.isProvenGone(identity),
		subscribe(listener) {
			listeners.push(listener);
		},
		update() {
			if (ledger().fleetRevision() !== appliedRevision || ledger().isReady() !== wasReady) {
				notifyListeners();
			}
		},
		appliedRevision: () => appliedRevision,
	};
};
