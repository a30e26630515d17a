/**
 * Finds the latest moment at which no version newer than the one in force can
 * have existed. Moments are readings of the own monotonic clock and count from
 * the start of a query, so that a slow answer makes the result older, never
 * younger.
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
	readonly known: readonly InstanceId[];
	readonly ownPlatformReachable: boolean;
	readonly ownPendingSubmits: number;
};

const latest = (moments: readonly number[]): number | undefined => moments.length === 0 ? undefined : Math.max(...moments);

/** From peers that were themselves confirmed and have no newer version. */
export const findMomentConfirmedByPeers = ({version, answers}: ConfirmationInput): number | undefined => latest([...answers.values()]
	.flatMap(({startedAt, answer: {documentVersion, confirmationAgeMilliseconds}}) =>
		confirmationAgeMilliseconds === undefined || documentVersion > version ? [] : [startedAt - confirmationAgeMilliseconds]));

/**
 * From every known entry instance, when none reaches the platform. Entry
 * instances are the only writers: one that answered after the earliest query
 * started, with no newer version and no pending submit, had written nothing
 * newer by then.
 */
export const findMomentConfirmedInOutage = ({version, answers, now, known, ownPlatformReachable, ownPendingSubmits}: OutageInput): number | undefined => {
	if (ownPlatformReachable || ownPendingSubmits > 0) {
		return undefined;
	}

	let earliest = now;
	for (const instance of known) {
		const timed = answers.get(instance);
		if (timed === undefined || timed.answer.platformReachable || timed.answer.pendingSubmits > 0 || timed.answer.documentVersion > version) {
			return undefined;
		}

		earliest = Math.min(earliest, timed.startedAt);
	}

	return earliest;
};
