/**
 * Lines of JSON between the owner and a dispatcher, an instance that calls workers for the owner.
 * The owner sends batches of worker calls, the dispatcher returns batches of results.
 */
import {parseJson} from '@turmericbay/http-client';
import type {
	StartRejection, WorkerCallError, WorkerClient, WorkerResponse, WorkerTarget,
} from './ports.js';
import {WorkerCallErrorKind} from './ports.js';
import type {EncodedReport} from './dispatch-reports.js';

/** Calls and results that arise within this time are sent in one line. */
export const batchMilliseconds = 4;
/** Interval of the check of each connection. Both sides send a line at least every other check, so every 100 ms. */
export const checkIntervalMilliseconds = 50;
/** A connection is closed after this time without a line. */
export const silenceMilliseconds = 400;
/** A connection is closed if the other side leaves more than this unread. */
export const maximumBufferedBytes = 1_048_576;

type CallOptions<Method extends 'start' | 'stop' | 'heartbeat' | 'throttle'> = Parameters<WorkerClient[Method]>[0];

export type WorkerCall
	= | {
		readonly method: 'start';
		readonly options: CallOptions<'start'>;
		/** Latest time of the start, on the dispatcher's monotonic clock. */
		readonly latestAt: number;
	}
	| {readonly method: 'stop'; readonly options: CallOptions<'stop'>}
	| {readonly method: 'heartbeat'; readonly options: CallOptions<'heartbeat'>}
	| {readonly method: 'throttle'; readonly options: CallOptions<'throttle'>};

export type DispatchedCall = WorkerCall & {readonly id: number};

export type CallLine = {
	/** Newest clock reading of the dispatcher that the owner has received, -1 before the first. */
	readonly answeredClock: number;
	readonly calls: readonly DispatchedCall[];
	/** Workers that the owner does not call any more. */
	readonly forgotten?: readonly WorkerTarget[];
};

/** Response of a worker to any of the calls. */
export type DispatchedResponse = WorkerResponse & {readonly rejection?: StartRejection | undefined; readonly report?: EncodedReport | undefined};

export type CallResult = {readonly id: number} & (
	| {readonly response: DispatchedResponse}
	/** `isDropped`: the dispatcher did not send the start, since it was too late or may have been. */
	| {readonly error: WorkerCallError; readonly isDropped?: boolean}
);

export type ResultLine = {
	/** Monotonic clock of the dispatcher. */
	readonly clock: number;
	readonly results: readonly CallResult[];
	/** The instance is stopping: outstanding calls are answered, but the owner should send no further ones. */
	readonly isLeaving?: boolean;
	/** Ids of workers whose last reports the dispatcher has deleted, so the next report of each is complete. */
	readonly forgotten?: readonly string[];
};

const errorKinds: ReadonlySet<unknown> = new Set(Object.values(WorkerCallErrorKind));

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null;
const isOptionalNumber = (value: unknown): boolean => value === undefined || typeof value === 'number';
const isTarget = (value: unknown): boolean => isRecord(value) && typeof value.id === 'string' && typeof value.address === 'string' && isOptionalNumber(value.incarnation);

const hasOptions = (method: unknown, options: Readonly<Record<string, unknown>>): boolean => {
	const hasRun = typeof options.task === 'string' && typeof options.run === 'number';
	switch (method) {
		case 'start': {
			return hasRun && typeof options.payload === 'string' && typeof options.leaseExpiresAt === 'number' && typeof options.checkpoint === 'string';
		}

		case 'stop': {
			return hasRun;
		}

		case 'throttle': {
			return hasRun && typeof options.percent === 'number';
		}

		case 'heartbeat': {
			return typeof options.acknowledgedSequence === 'number' && typeof options.waitMilliseconds === 'number' && isOptionalNumber(options.leaseExpiresAt);
		}

		default: {
			return false;
		}
	}
};

const isCall = (value: unknown): boolean => {
	if (!isRecord(value) || typeof value.id !== 'number' || !isRecord(value.options)) {
		return false;
	}

	const {method, options, latestAt} = value;
	return isTarget(options.worker) && typeof options.fencingToken === 'number' && hasOptions(method, options) && (method !== 'start' || typeof latestAt === 'number');
};

const isReport = (value: unknown): boolean => isRecord(value) && Array.isArray(value.running) && Array.isArray(value.ended);

const isResult = (value: unknown): boolean => {
	if (!isRecord(value) || typeof value.id !== 'number') {
		return false;
	}

	const {response, error} = value;
	return isRecord(response)
		? typeof response.clockMilliseconds === 'number' && isOptionalNumber(response.incarnation) && (response.report === undefined || isReport(response.report))
		: isRecord(error) && errorKinds.has(error.kind) && typeof error.message === 'string';
};

/* eslint-disable @typescript-eslint/no-unsafe-type-assertion -- Checked by hand, since a schema would allocate a copy of each call on the owner. */

/** Returns undefined for a malformed line. */
export const decodeCallLine = (text: string): CallLine | undefined => {
	const line = parseJson(text);
	return isRecord(line) && typeof line.answeredClock === 'number' && Array.isArray(line.calls) && line.calls.every(call => isCall(call))
		&& (line.forgotten === undefined || (Array.isArray(line.forgotten) && line.forgotten.every(target => isTarget(target))))
		? line as CallLine
		: undefined;
};

/** Returns undefined for a malformed line. */
export const decodeResultLine = (text: string): ResultLine | undefined => {
	const line = parseJson(text);
	return isRecord(line) && typeof line.clock === 'number' && Array.isArray(line.results) && line.results.every(result => isResult(result))
		&& (line.forgotten === undefined || Array.isArray(line.forgotten))
		? line as ResultLine
		: undefined;
};
/* eslint-enable @typescript-eslint/no-unsafe-type-assertion */
