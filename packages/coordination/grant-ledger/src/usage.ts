/** What one holder knows about its own units of each team. */
import type {TeamName} from '@turmericbay/types';

export type TeamUsage = {
	/** Units that this holder may use; never above its units in the ledger. */
	held: number;
	inUse: number;
	/** Upper bound for new starts while units have to be given back. */
	cap: number;
	/**
	 * Nothing new starts before this time while a lowered limit is not in force
	 * in the ledger; after the longest run time older work has ended anyway.
	 */
	suspendedUntil: number;
	limit: number;
	version: number;
	longestRunMilliseconds: number;
	/** Highest use in the present and in the previous window. */
	peak: number;
	previousPeak: number;
	windowEndsAt: number;
};

/** Idle units are kept for one to two windows, so that a short gap in the traffic costs no write. */
const windowMilliseconds = 5000;

/** The longest run time that a document can declare; holds for teams of which no document tells. */
export const unknownRunMilliseconds = 3_600_000;

export const createUsage = (): TeamUsage => ({
	held: 0,
	inUse: 0,
	cap: Number.POSITIVE_INFINITY,
	suspendedUntil: Number.NEGATIVE_INFINITY,
	limit: 0,
	version: 0,
	longestRunMilliseconds: unknownRunMilliseconds,
	peak: 0,
	previousPeak: 0,
	windowEndsAt: Number.NEGATIVE_INFINITY,
});

/** Units that may be in use at a time. */
export const usableUnits = (usage: TeamUsage): number => Math.min(usage.held, usage.cap);

export const hasFreeUnit = (usage: TeamUsage, now: number): boolean =>
	usage.inUse < usableUnits(usage) && now >= usage.suspendedUntil;

export const rollWindow = (usage: TeamUsage, now: number): void => {
	if (now < usage.windowEndsAt) {
		return;
	}

	usage.previousPeak = now - usage.windowEndsAt > windowMilliseconds ? usage.inUse : usage.peak;
	usage.peak = usage.inUse;
	usage.windowEndsAt = now + windowMilliseconds;
};

/** Units worth keeping after the recent use, with a quarter on top. */
export const wantedUnits = (usage: TeamUsage): number =>
	Math.ceil(Math.max(usage.peak, usage.previousPeak, usage.inUse) * 1.25);

export type TeamLimit = {
	readonly limit: number;
	/** The longest run time of the team's queues. */
	readonly longestRunMilliseconds: number;
};

/**
 * Takes over the limits of a document. A lowered limit binds at once: nothing
 * new starts until the ledger shows that the sum has come down, and each holder
 * keeps its proportion, so that holders without the store stay under it as well.
 */
export const adoptLimits = (options: {
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
			usage.cap = Math.min(usage.cap, Math.floor(usage.held * limit / usage.limit));
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
