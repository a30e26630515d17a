/**
 * Keeps the instance directory current. The two watchers of a zone read the
 * platform's instance list every second; the other instances get it from their
 * peers and read it themselves only if they receive no recent copy.
 */
import {createHash} from 'node:crypto';
import type {WritableInstanceDirectory} from '@turmericbay/membership';
import type {ExchangeResponse, Knowledge, ListedInstance} from '@turmericbay/peer-protocol';
import {LogEvent} from '@turmericbay/telemetry';
import type {Logger} from '@turmericbay/telemetry';
import type {
	Clock, InstanceList, InstanceRecord,
} from '@turmericbay/types';
import type {EntryIncarnations} from './entry-incarnations.js';
import {parseListedInstance, toListedInstance} from './peer-messages.js';

export type InstanceListSource = {
	/** Reads the platform's list if that is due; called every second. */
	tick(): Promise<void>;
	digest(): string;
	/** A peer's copy is requested only if it is newer than this age; undefined for watchers, which need none. */
	getMaximumListAgeMilliseconds(): number | undefined;
	/** Returns the list for a peer that requests one newer than the given age; undefined if none is requested, the own list is not newer, or it equals that of the peer. */
	selectListForPeer(options: {readonly peer: Knowledge | undefined; readonly newerThanMilliseconds: bigint | undefined}): readonly ListedInstance[] | undefined;
	/** Applies the list of a peer's response, or renews the age of the own list if the peer's digest equals it. */
	receiveFromPeer(options: {readonly response: ExchangeResponse; readonly requestedAtMilliseconds: number}): void;
};

/** An instance whose list is older than this reads it from the platform, watcher or not. */
const fallbackAgeMilliseconds = 2500;

/** A copy that is newer by less than this is ignored, because applying it processes the whole list. */
const minimumAgeImprovementMilliseconds = 500;

/** Lists the fields explicitly: their order differs between records from the platform and from a peer. */
const computeDigest = (records: readonly InstanceRecord[]): string => {
	const hash = createHash('sha256');
	for (const {instance, incarnation, address, role, pool, zone, rack, state} of records) {
		hash.update(JSON.stringify([instance, incarnation, address, role, pool, zone, rack, state]));
	}

	return hash.digest('base64url').slice(0, 16);
};

const compareNames = (left: InstanceRecord, right: InstanceRecord): number => left.instance < right.instance ? -1 : 1;

export const createInstanceListSource = (options: {
	readonly list: InstanceList;
	readonly directory: WritableInstanceDirectory;
	readonly incarnations: EntryIncarnations;
	readonly isWatcher: () => boolean;
	readonly clock: Clock;
	readonly logger: Logger;
}): InstanceListSource => {
	const {list, directory, incarnations, clock, logger} = options;
	let records: readonly InstanceRecord[] = [];
	let digest = '';
	let readAt: number | undefined;
	let isReading = false;
	/** The platform adapter returns the same array while the list is unchanged. */
	let lastPlatformRecords: readonly InstanceRecord[] | undefined;
	let lastSortedRecords: readonly InstanceRecord[] = [];
	let hasLastReadFailed = false;

	const age = () => readAt === undefined ? undefined : clock.monotonicMilliseconds() - readAt;

	const applyList = (newRecords: readonly InstanceRecord[], newReadAt: number) => {
		if (readAt !== undefined && newReadAt < readAt + minimumAgeImprovementMilliseconds) {
			return;
		}

		if (newRecords !== records) {
			records = newRecords;
			digest = computeDigest(newRecords);
		}

		readAt = newReadAt;
		directory.offer({records: incarnations.replaceIncarnations(newRecords), ageMilliseconds: clock.monotonicMilliseconds() - newReadAt});
	};

	const readPlatformList = async () => {
		const startedAt = clock.monotonicMilliseconds();
		const result = await list.readInstances();
		result.match(
			platformRecords => {
				hasLastReadFailed = false;
				if (platformRecords !== lastPlatformRecords) {
					lastPlatformRecords = platformRecords;
					lastSortedRecords = platformRecords.toSorted(compareNames);
				}

				applyList(lastSortedRecords, startedAt);
			},
			error => {
				if (!hasLastReadFailed) {
					logger.log(LogEvent.InstanceListFailed, {reason: error.message});
				}

				hasLastReadFailed = true;
			},
		);
	};

	return {
		async tick() {
			if (isReading || !(options.isWatcher() || (age() ?? Number.POSITIVE_INFINITY) > fallbackAgeMilliseconds)) {
				return;
			}

			isReading = true;
			await readPlatformList();
			isReading = false;
		},
		digest: () => digest,
		getMaximumListAgeMilliseconds: () => options.isWatcher() ? undefined : age() ?? Number.MAX_SAFE_INTEGER,
		selectListForPeer({peer, newerThanMilliseconds}) {
			const ownAge = age();
			const isWanted = newerThanMilliseconds !== undefined && ownAge !== undefined && ownAge < Number(newerThanMilliseconds);
			return isWanted && peer?.listDigest !== digest ? records.map(record => toListedInstance(record)) : undefined;
		},
		receiveFromPeer({response, requestedAtMilliseconds}) {
			const {knowledge, listIncluded, listed} = response;
			if (knowledge?.listAgeMs === undefined) {
				return;
			}

			const newReadAt = requestedAtMilliseconds - Number(knowledge.listAgeMs);
			if (listIncluded) {
				applyList(listed.map(entry => parseListedInstance(entry)).filter(record => record !== undefined), newReadAt);
			} else if (knowledge.listDigest === digest && digest !== '') {
				applyList(records, newReadAt);
			}
		},
	};
};
