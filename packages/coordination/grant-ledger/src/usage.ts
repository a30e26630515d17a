/** A holder's usage of its own units of each team. */
import type {TeamName} from '@turmericbay/types';

export type TeamUsage = {
	/** Units that this holder may use; never more than its units in the ledger. */
	held: number;
	inUse: number;
	/** No work starts above this number of units in use, while units have to be returned. */
	startLimit: number;
	/**
	 * After a limit was lowered, no work starts until the ledger is within the limit
	 * or this time has come. Work that started before has ended by then, since the
	 * longest run time has passed.
	 */
	suspendedUntil: number;
	limit: number;
	version: number;
	longestRunMilliseconds: number;
	/** Highest number of units in use in the present and in the previous window. */
	peak: number;
	previousPeak: number;
	windowEndsAt: number;
};

/** Idle units are kept for one to two windows, so that short gaps in the traffic cause no writes. */
const usageWindowMilliseconds = 5000;

/** The longest run time that a document can declare; assumed for teams that are in no document. */
export const defaultLongestRunMilliseconds = 3_600_000;

export const createUsage = (): TeamUsage => ({
	held: 0,
	inUse: 0,
	startLimit: Number.POSITIVE_INFINITY,
	suspendedUntil: Number.NEGATIVE_INFINITY,
	limit: 0,
	version: 0,
	longestRunMilliseconds: defaultLongestRunMilliseconds,
	peak: 0,
	previousPeak: 0,
	windowEndsAt: Number.NEGATIVE_INFINITY,
});

/** Units that may be in use at the same time. */
export const countUsableUnits = (usage: TeamUsage): number => Math.min(usage.held, usage.startLimit);

export const hasFreeUnit = (usage: TeamUsage, now: number): boolean =>
	usage.inUse < countUsableUnits(usage) && now >= usage.suspendedUntil;

export const advanceUsageWindow = (usage: TeamUsage, now: number): void => {
	if (now < usage.windowEndsAt) {
		return;
	}

	usage.previousPeak = now - usage.windowEndsAt > usageWindowMilliseconds ? usage.inUse : usage.peak;
	usage.peak = usage.inUse;
	usage.windowEndsAt = now + usageWindowMilliseconds;
};

/** Units to keep: the recent peak and a quarter of it as a reserve. */
export const countWantedUnits = (usage: TeamUsage): number =>
	Math.ceil(Math.max(usage.peak, usage.previousPeak, usage.inUse) * 1.25);

export type TeamLimit = {
	readonly limit: number;
	/** The longest run time of the team's queues. */
	readonly longestRunMilliseconds: number;
};

/**
 * Applies the limits of a document. A lowered limit takes effect at once: no work
 * starts until the ledger is within the limit. Each holder also reduces its units
 * in proportion, so that holders that cannot reach the store keep the limit too.
 */
export const applyLimits = (options: {
	readonly usages: Map<TeamName, TeamUsage>;
	readonly limits: ReadonlyMap<TeamName, TeamLimit>;
	readonly version: number;
	readonly now: number;
}): TeamName[] => {
	const {usages, limits, version, now} = options;
	const changed: TeamName[] = [];
	for (const team of new Set([...usages.keys(), ...limits.keys()])) {
		const usage = usages.get(team) ?? createUsage();
		const isNew = usage.version === 0;
		const declared = limits.get(team);
		const limit = declared?.limit ?? 0;
		usages.set(team, usage);
		if (limit !== usage.limit) {
			changed.push(team);
		}

		if (limit < usage.limit) {
			usage.startLimit = Math.min(usage.startLimit, Math.floor(usage.held * limit / usage.limit));
			usage.suspendedUntil = now + usage.longestRunMilliseconds;
		}

		usage.limit = limit;
		usage.version = version;
		if (declared) {
			usage.longestRunMilliseconds = isNew
				? declared.longestRunMilliseconds
				: Math.max(usage.longestRunMilliseconds, declared.longestRunMilliseconds);
		}
	}

	return changed;
};
