/**
 * Run reports as changes since the previous report of the same worker on the same connection. Both
 * ends keep the previous report of each worker; the connection delivers the changes in order.
 */
import type {RunReport} from '@turmericbay/scheduler';
import {formatRunKey} from '@turmericbay/scheduler';

type RunningEntry = RunReport['running'][number];
type EndedEntry = RunReport['ended'][number];

export type EncodedReport = {
	/** True if the report does not refer to the previous one. */
	readonly isComplete: boolean;
	readonly incarnation?: number | undefined;
	/** New and changed entries. */
	readonly running: readonly RunningEntry[];
	/** Keys of entries that are not in the report any more. */
	readonly removedRunning?: readonly string[];
	/** New entries; an entry of one sequence number does not change. */
	readonly ended: readonly EndedEntry[];
	readonly removedEnded?: readonly number[];
	readonly hasMoreEnded: boolean;
};

const getRunKey = ({task, run}: RunningEntry): string => formatRunKey(task, run);

const isSameRunning = (left: RunningEntry, right: RunningEntry): boolean =>
	left.checkpoint === right.checkpoint && left.percent === right.percent && left.latencyOrCpuUsage === right.latencyOrCpuUsage;

const isSameEnded = (left: EndedEntry, right: EndedEntry): boolean =>
	left.task === right.task && left.run === right.run && left.reason === right.reason && left.checkpoint === right.checkpoint;

type Changes<Key, Entry> = {readonly changed: readonly Entry[]; readonly removed: readonly Key[]};

const findChanges = <Key, Entry>(options: {
	readonly previous: readonly Entry[];
	readonly next: readonly Entry[];
	readonly getKey: (entry: Entry) => Key;
	readonly isSame: (left: Entry, right: Entry) => boolean;
}): Changes<Key, Entry> => {
	const {previous, next, getKey, isSame} = options;
	const removed = new Map(previous.map(entry => [getKey(entry), entry]));
	const changed: Entry[] = [];
	for (const entry of next) {
		const key = getKey(entry);
		const before = removed.get(key);
		removed.delete(key);
		if (before === undefined || !isSame(before, entry)) {
			changed.push(entry);
		}
	}

	return {changed, removed: [...removed.keys()]};
};

/** Changed entries keep their position, new ones follow. */
const applyChanges = <Key, Entry>(previous: readonly Entry[], {changed, removed}: Changes<Key, Entry>, getKey: (entry: Entry) => Key): readonly Entry[] => {
	if (changed.length === 0 && removed.length === 0) {
		return previous;
	}

	const entries = new Map(previous.map(entry => [getKey(entry), entry]));
	for (const key of removed) {
		entries.delete(key);
	}

	for (const entry of changed) {
		entries.set(getKey(entry), entry);
	}

	return [...entries.values()];
};

const getSequence = ({sequence}: EndedEntry): number => sequence;

const applyEncoded = (previous: RunReport, encoded: EncodedReport): RunReport => ({
	incarnation: encoded.incarnation,
	running: applyChanges(previous.running, {changed: encoded.running, removed: encoded.removedRunning ?? []}, getRunKey),
	ended: applyChanges(previous.ended, {changed: encoded.ended, removed: encoded.removedEnded ?? []}, getSequence),
	hasMoreEnded: encoded.hasMoreEnded,
});

const hasSameOrder = <Entry>(left: readonly Entry[], right: readonly Entry[], getKey: (entry: Entry) => unknown): boolean =>
	left.length === right.length && left.every((entry, index) => getKey(entry) === getKey(right[index]!));

const encodeComplete = (report: RunReport): EncodedReport => ({isComplete: true, ...report});

/** Returns undefined if nothing has changed. */
const encodeChanges = (previous: RunReport, report: RunReport): EncodedReport | undefined => {
	const running = findChanges({
		previous: previous.running, next: report.running, getKey: getRunKey, isSame: isSameRunning,
	});
	const ended = findChanges({
		previous: previous.ended, next: report.ended, getKey: getSequence, isSame: isSameEnded,
	});
	const encoded: EncodedReport = {
		isComplete: false, incarnation: report.incarnation, running: running.changed, ended: ended.changed, hasMoreEnded: report.hasMoreEnded,
		...(running.removed.length > 0 && {removedRunning: running.removed}), ...(ended.removed.length > 0 && {removedEnded: ended.removed}),
	};
	const decoded = applyEncoded(previous, encoded);
	if (!hasSameOrder(decoded.running, report.running, getRunKey) || !hasSameOrder(decoded.ended, report.ended, getSequence)) {
		return encodeComplete(report);
	}

	const isUnchanged = decoded.running === previous.running && decoded.ended === previous.ended && report.hasMoreEnded === previous.hasMoreEnded;
	return isUnchanged ? undefined : encoded;
};

/** The dispatcher's end of one connection. */
export const createReportEncoder = () => {
	const previousReports = new Map<string, RunReport>();
	return {
		/** Returns undefined if the report equals the previous one of the worker. */
		encode(worker: string, report: RunReport): EncodedReport | undefined {
			const previous = previousReports.get(worker);
			previousReports.set(worker, report);
			// Another process of the worker numbers its ended runs from the start.
			return previous?.incarnation === report.incarnation && previous ? encodeChanges(previous, report) : encodeComplete(report);
		},
		forget(worker: string): void {
			previousReports.delete(worker);
		},
	};
};

/** The owner's end of one connection. */
export const createReportDecoder = () => {
	const previousReports = new Map<string, RunReport>();
	return {
		/** Returns undefined if the changes refer to a report that this end does not have. */
		decode(worker: string, encoded: EncodedReport | undefined): RunReport | undefined {
			const previous = previousReports.get(worker);
			if (encoded === undefined) {
				return previous;
			}

			if (!previous && !encoded.isComplete) {
				return undefined;
			}

			const report = previous && !encoded.isComplete
				? applyEncoded(previous, encoded)
				: {
					incarnation: encoded.incarnation, running: encoded.running, ended: encoded.ended, hasMoreEnded: encoded.hasMoreEnded,
				};
			previousReports.set(worker, report);
			return report;
		},
		forget(worker: string): void {
			previousReports.delete(worker);
		},
	};
};
