/**
 * Incarnations of the entry instances. The platform's list names the run of a
 * machine, while grants and claims belong to one run of the daemon on it. A
 * daemon can only listen on its peer address after its predecessor there has
 * ended, so an answer with another incarnation proves that the former is gone.
 * Until an instance has answered, its run is unknown and nothing is proven.
 */
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import type {InstanceRecord, ProcessIdentity} from '@turmericbay/types';

export type EntryIncarnations = {
	/** Reports the incarnation that answered at the instance's peer address. */
	note(identity: ProcessIdentity): void;
	/** The list with the daemons' incarnations in place of the machines'. */
	apply(records: readonly InstanceRecord[]): readonly InstanceRecord[];
};

export const createEntryIncarnations = (): EntryIncarnations => {
	const incarnations = new Map<string, string>();
	return {
		note({instance, incarnation}) {
			incarnations.set(instance, incarnation);
		},
		apply: records => records.map(record => {
			const incarnation = incarnations.get(record.instance) ?? unknownIncarnation;
			return record.role === InstanceRole.Entry ? {...record, incarnation} : record;
		}),
	};
};
