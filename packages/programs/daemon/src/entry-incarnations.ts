/**
 * Incarnations of the daemons on the entry instances. The incarnation in the
 * platform's instance list identifies one boot of the machine, but grants and
 * claims belong to one daemon process on it. A daemon can listen on its peer
 * address only after the previous process there has ended, so a response with a
 * new incarnation proves that the previous process is gone. Until an instance
 * has responded, its incarnation is unknown.
 */
import {InstanceRole, unknownIncarnation} from '@turmericbay/types';
import type {InstanceRecord, ProcessIdentity} from '@turmericbay/types';

export type EntryIncarnations = {
	/** Records the incarnation of the daemon that responded at the instance's peer address. */
	record(identity: ProcessIdentity): void;
	/** Returns the list with the incarnations of the daemons in place of those of the machines. */
	replaceIncarnations(records: readonly InstanceRecord[]): readonly InstanceRecord[];
};

export const createEntryIncarnations = (): EntryIncarnations => {
	const incarnations = new Map<string, string>();
	return {
		record({instance, incarnation}) {
			incarnations.set(instance, incarnation);
		},
		replaceIncarnations: records => records.map(record => {
			const incarnation = incarnations.get(record.instance) ?? unknownIncarnation;
			return record.role === InstanceRole.Entry ? {...record, incarnation} : record;
		}),
	};
};
