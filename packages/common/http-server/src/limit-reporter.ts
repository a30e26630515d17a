/** Bounds the log lines about limits: clients decide how often a limit acts. */
import type {HttpLimit} from './limits.js';

/** Time between two reports of the same limit. */
const reportIntervalMilliseconds = 10_000;

/** Returns a function to call each time a limit acts. The first time is reported at once, later ones together with the next report that is due. */
export const createLimitReporter = (options: {
	readonly clock: {now(): number};
	/** `count`: how often the limit has acted since its previous report. */
	readonly report: (limit: HttpLimit, count: number) => void;
}): (limit: HttpLimit) => void => {
	const {clock, report} = options;
	const unreported = new Map<HttpLimit, {count: number; nextReportAt: number}>();
	return limit => {
		const entry = unreported.get(limit) ?? {count: 0, nextReportAt: 0};
		unreported.set(limit, entry);
		entry.count += 1;
		if (clock.now() >= entry.nextReportAt) {
			report(limit, entry.count);
			entry.count = 0;
			entry.nextReportAt = clock.now() + reportIntervalMilliseconds;
		}
	};
};
