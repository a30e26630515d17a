/** Converts instance records to the Prometheus HTTP service discovery format. */
import type {InstanceRecord} from '@turmericbay/types';

export type TargetGroup = {
	readonly targets: readonly string[];
	readonly labels: Readonly<Record<string, string>>;
};

export const toTargetGroups = (records: readonly InstanceRecord[]): TargetGroup[] =>
	records.map(({address, ...labels}) => ({targets: [address], labels}));
