/** Creates the fleet ledger, which records drains, maintenance and moves of instances, and the routing that follows it. */
import type {ConfigurationPort} from '@turmericbay/document';
import {createFleetLedger} from '@turmericbay/fleet-ledger';
import type {RevisionConfirmation, FleetLedger, FleetLedgerEvent} from '@turmericbay/fleet-ledger';
import type {Gateway} from '@turmericbay/gateway';
import {LogEvent} from '@turmericbay/telemetry';
import type {Logger} from '@turmericbay/telemetry';
import type {
	Clock, InstanceDirectory, InstanceId, KeyValueStore, ProcessIdentity, RegionName,
} from '@turmericbay/types';
import type {InstanceControl} from '@turmericbay/types';
import {createFleetRouting} from './fleet-routing.js';
import type {FleetRouting} from './fleet-routing.js';
import type {PeerExchange, PeerState} from './peer-exchange.js';

export type FleetComponents = {
	readonly ledger: FleetLedger;
	readonly routing: FleetRouting;
	/** Updates the ledger and the routing; called every second. */
	tick(): Promise<void>;
};

const toConfirmation = ({knowledge, member}: PeerState): RevisionConfirmation[] => knowledge === undefined
	? []
	: [{
		identity: {instance: member.instance, incarnation: knowledge.incarnation},
		fleetRevision: Number(knowledge.fleetRevision),
		busyInstances: new Set(knowledge.upstreams.map(({instance}) => instance)),
	}];

const logFleetEvent = (logger: Logger, event: FleetLedgerEvent): void => {
	switch (event.type) {
		case 'written': {
			logger.log(LogEvent.MaintenanceStepRecorded, {revision: event.revision});
			break;
		}

		case 'store-failed':
		case 'state-malformed':
		case 'state-went-back':
		case 'control-failed': {
			logger.log(LogEvent.FleetLedgerFailed, {kind: event.type, reason: event.message});
			break;
		}
	}
};

export const createFleetComponents = (options: {
	readonly region: RegionName;
	readonly identity: ProcessIdentity;
	readonly store: KeyValueStore;
	readonly control: InstanceControl;
	readonly directory: InstanceDirectory;
	readonly configuration: ConfigurationPort;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly exchange: () => PeerExchange;
	readonly gateway: () => Gateway;
}): FleetComponents => {
	const {directory, exchange, gateway} = options;
	/** Determined once per tick, because the ledger queries the health of every listed instance. */
	let ejected: ReadonlySet<InstanceId> = new Set();
	const routing = createFleetRouting({directory, ledger: () => ledger});
	const ledger: FleetLedger = createFleetLedger({
		region: options.region,
		store: options.store,
		control: options.control,
		clock: options.clock,
		identity: options.identity,
		directory,
		configuration: options.configuration,
		peers: {confirmations: () => exchange().peers().flatMap(peer => toConfirmation(peer))},
		observation: {
			busyInstances: () => new Set(gateway().status().upstreams.filter(({inFlight}) => inFlight > 0).map(({instance}) => instance)),
			isHealthy: instance => !ejected.has(instance),
			hasRunningTasks: () => false,
		},
		report(event) {
			logFleetEvent(options.logger, event);
		},
	});

	return {
		ledger,
		routing,
		async tick() {
			ejected = new Set(gateway().status().upstreams.filter(({isEjected}) => isEjected).map(({instance}) => instance));
			await ledger.tick();
			routing.update();
		},
	};
};
