/**
 * Feeds the instance directory: the two watchers of a zone read the platform's
 * list each second, the others take it from their peers, and everybody reads
 * it when no fresh copy has come for a while.
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
import {parseListedInstance, toListedInstance} from './knowledge.js';

export type InstanceListSource = {
	/** Starts a read if one is due; called each second. */
	tick(): Promise<void>;
	digest(): string;
	/** The age above which a peer's copy is wanted; undefined for watchers. */
	wantedAgeMilliseconds(): number | undefined;
	/** What to answer a peer that wants a list newer than its own. */
	selectFor(options: {readonly peer: Knowledge | undefined; readonly newerThanMilliseconds: bigint | undefined}): readonly ListedInstance[] | undefined;
	/** Takes the list, or the news that it is unchanged, from an answer to a question asked at that time. */
	receive(options: {readonly response: ExchangeResponse; readonly askedAtMilliseconds: number}): void;
};

/** Without a fresh copy from a peer for this long, every instance reads the list itself. */
const fallbackAgeMilliseconds = 2500;

/** A copy that is newer by less than this is not worth going through the whole list again. */
const minimumGainMilliseconds = 500;

/** Independent of the order of members, which differs between the platform's answer and a peer's. */
const digestOf = (records: readonly InstanceRecord[]): string => {
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
	let lastRead: readonly InstanceRecord[] | undefined;
	let lastSorted: readonly InstanceRecord[] = [];
	let hasFailed = false;

	const age = () => readAt === undefined ? undefined : clock.monotonicMilliseconds() - readAt;

	const adopt = (adopted: readonly InstanceRecord[], at: number) => {
		if (readAt !== undefined && at < readAt + minimumGainMilliseconds) {
			return;
		}

		if (adopted !== records) {
			records = adopted;
			digest = digestOf(adopted);
		}

		readAt = at;
		directory.offer({records: incarnations.apply(adopted), ageMilliseconds: clock.monotonicMilliseconds() - at});
	};

	const read = async () => {
		const startedAt = clock.monotonicMilliseconds();
		const answer = await list.readInstances();
		answer.match(
			read => {
				hasFailed = false;
				if (read !== lastRead) {
					lastRead = read;
					lastSorted = read.toSorted(compareNames);
				}

				adopt(lastSorted, startedAt);
			},
			error => {
				if (!hasFailed) {
					logger.log(LogEvent.InstanceListFailed, {reason: error.message});
				}

				hasFailed = true;
			},
		);
	};

	return {
		async tick() {
			if (isReading || !(options.isWatcher() || (age() ?? Number.POSITIVE_INFINITY) > fallbackAgeMilliseconds)) {
				return;
			}

			isReading = true;
			await read();
			isReading = false;
		},
		digest: () => digest,
		wantedAgeMilliseconds: () => options.isWatcher() ? undefined : age() ?? Number.MAX_SAFE_INTEGER,
		selectFor({peer, newerThanMilliseconds}) {
			const ownAge = age();
			const isWanted = newerThanMilliseconds !== undefined && ownAge !== undefined && ownAge < Number(newerThanMilliseconds);
			return isWanted && peer?.listDigest !== digest ? records.map(record => toListedInstance(record)) : undefined;
		},
		receive({response, askedAtMilliseconds}) {
			const {knowledge, listIncluded, listed} = response;
			if (knowledge?.listAgeMs === undefined) {
				return;
			}

			const at = askedAtMilliseconds - Number(knowledge.listAgeMs);
			if (listIncluded) {
				adopt(listed.map(entry => parseListedInstance(entry)).filter(record => record !== undefined), at);
			} else if (knowledge.listDigest === digest && digest !== '') {
				adopt(records, at);
			}
		},
	};
};
