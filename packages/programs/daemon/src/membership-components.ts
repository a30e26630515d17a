/** Creates the instance directory and its list source, and chooses the watchers of the own zone. */
import {chooseWatchers} from '@turmericbay/document-watch';
import type {EntryInstance as Member} from '@turmericbay/document-watch';
import {createInstanceDirectory} from '@turmericbay/membership';
import type {WritableInstanceDirectory} from '@turmericbay/membership';
import type {Logger} from '@turmericbay/telemetry';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {
	Clock, InstanceId, InstanceList, ProcessIdentity,
} from '@turmericbay/types';
import {createEntryIncarnations} from './entry-incarnations.js';
import type {EntryIncarnations} from './entry-incarnations.js';
import {createInstanceListSource} from './instance-list-source.js';
import type {InstanceListSource} from './instance-list-source.js';

export type MembershipComponents = {
	readonly directory: WritableInstanceDirectory;
	readonly incarnations: EntryIncarnations;
	readonly listSource: InstanceListSource;
	/** Live entry instances of the instance list; before the first list, the peers from the settings. */
	listLiveEntryInstances(): readonly Member[];
	/** Entry instances of the own zone that poll the platform every second. */
	watchers(): ReadonlySet<InstanceId>;
};

export const createMembershipComponents = (options: {
	readonly self: Member;
	readonly identity: ProcessIdentity;
	readonly members: readonly Member[];
	readonly list: InstanceList;
	readonly clock: Clock;
	readonly logger: Logger;
}): MembershipComponents => {
	const {self, identity, members, clock} = options;
	const incarnations = createEntryIncarnations();
	incarnations.record(identity);
	const directory = createInstanceDirectory({clock});

	const listLiveEntryInstances = (): readonly Member[] => {
		const listed = directory.instances()
			.filter(({role, state}) => role === InstanceRole.Entry && state === InstanceState.Live)
			.map(({instance, zone}) => ({instance, zone}));
		return listed.length > 0 ? listed : members;
	};

	const chooseZoneWatchers = (): ReadonlySet<InstanceId> => new Set(chooseWatchers({
		zone: self.zone,
		live: [...listLiveEntryInstances().filter(({instance}) => instance !== self.instance), self],
	}));
	// Cached because it is read several times a second and changes only with the list.
	let watchers = chooseZoneWatchers();
	directory.subscribe(() => {
		watchers = chooseZoneWatchers();
	});

	return {
		directory,
		incarnations,
		listSource: createInstanceListSource({
			list: options.list, directory, incarnations, isWatcher: () => watchers.has(self.instance), clock, logger: options.logger,
		}),
		listLiveEntryInstances,
		watchers: () => watchers,
	};
};
