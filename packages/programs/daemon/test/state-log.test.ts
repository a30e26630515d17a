import test from 'ava';
import {createEmptyState, FailureCause} from '@turmericbay/fleet-ledger';
import type {FleetState} from '@turmericbay/fleet-ledger';
import {LogEvent} from '@turmericbay/telemetry';
import {createStateLog} from '../src/state-log.js';
import type {ObservedComponents} from '../src/state-log.js';

const createFixture = () => {
	const state = {
		age: 0 as number | undefined, memoryMode: false, owned: [] as number[], reclaimedUnits: 0, ejected: false, failed: [] as string[], sessionId: 'lease-1',
	};
	const fleetState = (): FleetState => ({
		...createEmptyState(),
		failures: state.failed.map(instance => ({
			instance, pool: 'pickups', zone: 'south', rack: 'rack-1', cause: FailureCause.Observed, since: 0,
		})),
	});
	const components = {
		claims: {status: () => ({memoryMode: state.memoryMode, owned: state.owned})},
		documentWatch: {confirmationAgeMilliseconds: () => state.age},
		fleet: {ledger: {state: fleetState}},
		gateway: {status: () => ({upstreams: [{instance: 'pickups-1', inFlight: 0, isEjected: state.ejected}]})},
		grants: {counters: () => ({reclaimedUnits: state.reclaimedUnits}), lastError: () => undefined},
		session: {sessionId: () => state.sessionId},
	};
	const events: string[] = [];
	const run = createStateLog({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- The fields that the state log reads.
		components: components as unknown as ObservedComponents,
		logger: {
			log(event) {
				events.push(LogEvent[event]);
			},
		},
	});
	return {
		state,
		/** Applies a change, runs the state log and returns the names of the logged events. */
		change(next: Partial<typeof state>) {
			Object.assign(state, next);
			events.length = 0;
			run();
			return [...events];
		},
	};
};

// Guards against failures that are missing from the log, and against logging the same failure every second.
test('each change of state is logged once', t => {
	const {change} = createFixture();
	t.deepEqual(change({}), []);
	t.deepEqual(change({age: 6000}), ['ConfirmationLost']);
	t.deepEqual(change({}), []);
	t.deepEqual(change({age: 100}), ['ConfirmationRegained']);
	t.deepEqual(change({memoryMode: true, owned: [1, 2]}), ['ClaimsInMemory', 'PartitionsChanged']);
	t.deepEqual(change({reclaimedUnits: 3}), ['GrantReclaimed']);
	t.deepEqual(change({ejected: true}), ['UpstreamEjected']);
	t.deepEqual(change({ejected: false, failed: ['pickups-1']}), ['UpstreamRestored', 'InstanceFailureRecorded', 'MaintenanceStopped']);
	t.deepEqual(change({sessionId: 'lease-2'}), ['SessionLost']);
});
