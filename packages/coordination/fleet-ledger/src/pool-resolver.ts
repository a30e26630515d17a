/** Resolves the pools of instances for the routing tables of this entry instance. */
import type {
	InstanceDirectory, InstanceId, InstanceRecord, PoolName,
} from '@turmericbay/types';
import {isMoveActive, isStepActive} from './state.js';
import type {FleetState} from './state.js';

export type PoolResolver = (state: FleetState, instance: InstanceId) => PoolName | undefined;

/** Indexes both inputs once per change, since routing resolves pools for every request. */
export const createPoolResolver = (directory: Pick<InstanceDirectory, 'instances'>): PoolResolver => {
	let records: readonly InstanceRecord[] | undefined;
	let listedPools = new Map<InstanceId, PoolName>();
	let indexedState: FleetState | undefined;
	let outOfService = new Set<InstanceId>();

	return (state, instance) => {
		if (records !== directory.instances()) {
			records = directory.instances();
			listedPools = new Map(records.map(record => [record.instance, record.pool]));
		}

		if (indexedState !== state) {
			indexedState = state;
			outOfService = new Set([
				...state.steps.filter(step => isStepActive(step)),
				...state.moves.filter(move => isMoveActive(move)),
			].map(record => record.instance));
		}

		const listed = listedPools.get(instance);
		return listed === undefined || outOfService.has(instance) ? undefined : state.assignedPools[instance] ?? listed;
	};
};
