/** Who is there: the instance directory, where its lists come from, and the watchers of the own zone. */
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

export type MembershipParts = {
	readonly directory: WritableInstanceDirectory;
	readonly incarnations: EntryIncarnations;
	readonly listSource: InstanceListSource;
	/** Live entry instances by the list; the members of the settings before the first one. */
	listLiveEntries(): readonly Member[];
	/** Entry instances of the own zone that read the platform each second. */
	watchers(): ReadonlySet<InstanceId>;
};

export const createMembershipParts = (options: {
	readonly self: Member;
	readonly identity: ProcessIdentity;
	readonly members: readonly Member[];
	readonly list: InstanceList;
	readonly clock: Clock;
	readonly logger: Logger;
}): MembershipParts => {
	const {self, identity, members, clock} = options;
	const incarnations = createEntryIncarnations();
	incarnations.note(identity);
	const directory = createInstanceDirectory({clock});

	const listLiveEntries = (): readonly Member[] => {
		const listed = directory.instances()
			.filter(({role, state}) => role === InstanceRole.Entry && state === InstanceState.Live)
			.map(({instance, zone}) => ({instance, zone}));
		return listed.length > 0 ? listed : members;
	};

	const chooseZoneWatchers = (): ReadonlySet<InstanceId> => new Set(chooseWatchers({
		zone: self.zone,
		live: [...listLiveEntries().filter(({instance}) => instance !== self.instance), self],
	}));
	// Asked for several times a second; the answer changes with the list only.
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
		listLiveEntries,
		watchers: () => watchers,
	};
};
