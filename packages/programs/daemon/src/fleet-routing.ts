/**
 * The instance directory as the gateway must see it: the platform's list with
 * the fleet ledger on top. Instances that are out of service count as leaving.
 */
import type {FleetLedger} from '@turmericbay/fleet-ledger';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {InstanceDirectory, InstanceRecord} from '@turmericbay/types';

export type FleetRouting = InstanceDirectory & {
	/** Brings the routing tables up to the ledger; called after each change of the ledger. */
	apply(): void;
	/** The ledger's revision that the routing tables follow. */
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

	const overlay = (record: InstanceRecord): InstanceRecord => {
		if (record.role === InstanceRole.Entry) {
			return record;
		}

		const pool = ledger().effectivePool(record.instance);
		return pool === undefined ? {...record, state: InstanceState.Leaving} : {...record, pool};
	};

	const follow = () => {
		const revision = ledger().fleetRevision();
		wasReady = ledger().isReady();
		for (const listener of listeners) {
			listener();
		}

		// Reported only after the tables follow it: a peer takes it as proof that no new work goes to a drained instance.
		appliedRevision = revision;
	};

	directory.subscribe(follow);
	return {
		instances: () => directory.instances().map(record => overlay(record)),
		ageMilliseconds: () => directory.ageMilliseconds(),
		isProvenGone: identity => directory.isProvenGone(identity),
		subscribe(listener) {
			listeners.push(listener);
		},
		apply() {
			if (ledger().fleetRevision() !== appliedRevision || ledger().isReady() !== wasReady) {
				follow();
			}
		},
		appliedRevision: () => appliedRevision,
	};
};
