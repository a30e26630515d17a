/** The newest load figures that an instance knows, and the message that carries them from the owner. */
import {z} from 'zod';
import type {LoadFigures} from '@turmericbay/scheduler';
import type {TimedFigures} from './owner-load-figures.js';
import {figuresIntervalMilliseconds} from './owner-load-figures.js';

/**
 * While pools are full, figures are also requested with calls that are made anyway: an instance that refuses
 * all its jobs would otherwise get no figures, and admit a job each time they are too old. Half the age that decisions allow.
 */
const refreshIntervalMilliseconds = 1000;

export type KnownFigures = {
	readonly figures: LoadFigures;
	/** Earliest time at which the owner can have computed them, on this instance's monotonic clock. */
	readonly computedAt: number;
	/** Jobs that this instance stored before this time are taken for included. */
	readonly receivedAt: number;
};

const poolSchema = z.object({
	capacity: z.number(),
	backlogs: z.array(z.object({
		workspace: z.string(), priority: z.number(), running: z.number(), late: z.number(), waiting: z.array(z.tuple([z.number(), z.number()])),
	})),
	workspaces: z.record(z.string(), z.object({weight: z.number(), demand: z.number(), share: z.number()})),
});

/** Response of the owner to a stored job. The fields are missing if no figures were requested or the owner has none. */
const responseSchema = z.object({
	ageMilliseconds: z.number().nonnegative(),
	figures: z.object({pools: z.record(z.string(), poolSchema), durations: z.record(z.string(), z.number())}),
});

export type FiguresCache = ReturnType<typeof createFiguresCache>;

export const createFiguresCache = (options: {readonly now: () => number}) => {
	const {now} = options;
	let newest: KnownFigures | undefined;
	let requestedAt = Number.NEGATIVE_INFINITY;
	const takeRequest = (interval: number): boolean => {
		if (now() - requestedAt < interval) {
			return false;
		}

		requestedAt = now();
		return true;
	};

	return {
		/** True if the report of a stored job should request figures. */
		takeRequest: () => takeRequest(figuresIntervalMilliseconds),
		/** True if another call to the owner should request figures. */
		takeRefresh: () => newest !== undefined && Object.keys(newest.figures.pools).length > 0 && takeRequest(refreshIntervalMilliseconds),
		/** Takes the figures from the response to a call that was sent at `sentAt`. Other responses are ignored. */
		record(response: unknown, sentAt: number): void {
			const parsed = responseSchema.safeParse(response);
			const computedAt = parsed.success ? sentAt - parsed.data.ageMilliseconds : Number.NEGATIVE_INFINITY;
			if (parsed.success && computedAt >= (newest?.computedAt ?? Number.NEGATIVE_INFINITY)) {
				newest = {figures: parsed.data.figures, computedAt, receivedAt: now()};
			}
		},
		/** The figures of this instance if it is the owner, else the newest received ones. */
		newest(local: TimedFigures | undefined): KnownFigures | undefined {
			if (!local) {
				return newest;
			}

			const computedAt = now() - local.ageMilliseconds;
			return {figures: local.figures, computedAt, receivedAt: computedAt};
		},
	};
};
