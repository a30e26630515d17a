/**
 * The platform's instances: their current state, and what the instance list
 * shows after a lag. Reboots finish after a time on the clock of the options.
 */
import type {
	Clock, InstanceId, InstanceRecord, PoolName,
} from '@turmericbay/types';
import {InstanceState} from '@turmericbay/types';

/** A call to instance control that changed something; the program that simulates the machines carries it out. */
export type InstanceOrder = {
	readonly type: 'drain' | 'reboot' | 'assign-pool';
	readonly instance: InstanceId;
	readonly pool?: PoolName;
};

export type InstanceFleet = {
	/** Adds or replaces a record. */
	set(record: InstanceRecord): void;
	remove(instance: InstanceId): void;
	setLag(milliseconds: number): void;
	/** The current records. */
	current(): readonly InstanceRecord[];
	/** The records that the instance list shows, which lags behind. */
	listed(): readonly InstanceRecord[];
	// `drain`, `reboot` and `assignPool` are idempotent and return false if there is no such instance.
	drain(instance: InstanceId): boolean;
	reboot(instance: InstanceId): boolean;
	assignPool(options: {readonly instance: InstanceId; readonly pool: PoolName}): boolean;
	orders(): readonly InstanceOrder[];
};

type Snapshot = {readonly visibleAt: number; readonly records: readonly InstanceRecord[]};

export const createInstanceFleet = (options: {
	readonly clock: Clock;
	readonly lagMilliseconds?: number;
	/** Time from a reboot call until the instance is live again with a new incarnation. */
	readonly rebootMilliseconds?: number;
}): InstanceFleet => {
	const {clock, rebootMilliseconds = 1000} = options;
	const records = new Map<InstanceId, InstanceRecord>();
	const rebootsDueAt = new Map<InstanceId, number>();
	const orders: InstanceOrder[] = [];
	let lagMilliseconds = options.lagMilliseconds ?? 0;
	let snapshots: Snapshot[] = [{visibleAt: 0, records: []}];
	let lastRebootNumber = 0;

	const publish = (changedAt: number): void => {
		snapshots.push({visibleAt: changedAt + lagMilliseconds, records: [...records.values()]});
	};

	const set = (record: InstanceRecord, changedAt: number): void => {
		records.set(record.instance, record);
		publish(changedAt);
	};

	const finishReboots = (): void => {
		const now = clock.monotonicMilliseconds();
		const due = [...rebootsDueAt].filter(([, dueAt]) => dueAt <= now).toSorted(([, a], [, b]) => a - b);
		for (const [instance, dueAt] of due) {
			rebootsDueAt.delete(instance);
			const record = records.get(instance);
			if (record !== undefined) {
				lastRebootNumber++;
				set({...record, incarnation: `reboot-${lastRebootNumber}`, state: InstanceState.Live}, dueAt);
			}
		}
	};

	const order = (instanceOrder: InstanceOrder, change: (record: InstanceRecord) => InstanceRecord): boolean => {
		finishReboots();
		const record = records.get(instanceOrder.instance);
		if (record === undefined) {
			return false;
		}

		const changed = change(record);
		if (changed !== record) {
			orders.push(instanceOrder);
			set(changed, clock.monotonicMilliseconds());
		}

		return true;
	};

	const markLeaving = (record: InstanceRecord): InstanceRecord =>
		record.state === InstanceState.Leaving ? record : {...record, state: InstanceState.Leaving};

	return {
		set(record) {
			finishReboots();
			set(record, clock.monotonicMilliseconds());
		},
		remove(instance) {
			finishReboots();
			records.delete(instance);
			publish(clock.monotonicMilliseconds());
		},
		setLag(milliseconds) {
			lagMilliseconds = milliseconds;
		},
		current() {
			finishReboots();
			return [...records.values()];
		},
		listed() {
			finishReboots();
			const now = clock.monotonicMilliseconds();
			const newest = snapshots.findLastIndex(({visibleAt}) => visibleAt <= now);
			snapshots = snapshots.slice(Math.max(newest, 0));
			return snapshots[0]!.records;
		},
		drain: instance => order({type: 'drain', instance}, record => markLeaving(record)),
		reboot: instance => order({type: 'reboot', instance}, record => {
			if (rebootsDueAt.has(instance)) {
				return record;
			}

			rebootsDueAt.set(instance, clock.monotonicMilliseconds() + rebootMilliseconds);
			return {...record, state: InstanceState.Leaving};
		}),
		assignPool: ({instance, pool}) => order(
			{type: 'assign-pool', instance, pool},
			record => record.pool === pool ? record : {...record, pool},
		),
		orders: () => orders,
	};
};
