/**
 * Finds the latest time at which no version newer than the one in force can
 * have existed. Times are readings of this process's monotonic clock, taken at
 * the start of a query, so that a slow answer can only make the result older.
 */
import type {DocumentVersion, InstanceId} from '@turmericbay/types';
import type {PeerAnswer} from './ports.js';

export type TimedAnswer = {
	readonly startedAt: number;
	readonly answer: PeerAnswer;
};

type ConfirmationInput = {
	readonly version: DocumentVersion;
	readonly answers: ReadonlyMap<InstanceId, TimedAnswer>;
};

type OutageInput = ConfirmationInput & {
	readonly now: number;
	readonly knownPeers: readonly InstanceId[];
	readonly ownPlatformReachable: boolean;
	readonly ownPendingSubmits: number;
};

const findLatest = (times: readonly number[]): number | undefined => times.length === 0 ? undefined : Math.max(...times);

/** Considers peers that are themselves confirmed and have no newer version. */
export const findPeerConfirmationTime = ({version, answers}: ConfirmationInput): number | undefined => findLatest([...answers.values()]
	.flatMap(({startedAt, answer: {documentVersion, confirmationAgeMilliseconds}}) =>
		confirmationAgeMilliseconds === undefined || documentVersion > version ? [] : [startedAt - confirmationAgeMilliseconds]));

/**
 * Considers an outage in which no known entry instance reaches the platform.
 * Entry instances are the only writers: if each of them answers that it has no
 * newer version and no pending submit, no newer version existed when the earliest
 * of these queries started.
 */
export const findOutageConfirmationTime = ({version, answers, now, knownPeers, ownPlatformReachable, ownPendingSubmits}: OutageInput): number | undefined => {
	if (ownPlatformReachable || ownPendingSubmits > 0) {
		return undefined;
	}

	let earliestQueryAt = now;
	for (const instance of knownPeers) {
		const timedAnswer = answers.get(instance);
		if (timedAnswer === undefined || timedAnswer.answer.platformReachable || timedAnswer.answer.pendingSubmits > 0 || timedAnswer.answer.documentVersion > version) {
			return undefined;
		}

		earliestQueryAt = Math.min(earliestQueryAt, timedAnswer.startedAt);
	}

	return earliestQueryAt;
};
