/** Simulated calls in transit; the test decides about each step of each call. */
import {StoreErrorKind} from '@turmericbay/types';
import {err} from 'neverthrow';
import type {Result} from 'neverthrow';
import {previousProcessWriteMilliseconds} from '../src/state.js';

export type Call = {
	readonly from: string;
	readonly to: string;
	/** Number of the process that sent the call; it has ended if the instance has restarted since. */
	readonly process: number;
	readonly isWrite: boolean;
	/** Takes effect at the target and returns a function that delivers the response. */
	readonly apply: () => () => void;
	readonly fail: (kind: StoreErrorKind) => void;
	readonly sentAt: number;
	answer?: (() => void) | undefined;
	/** The caller has timed out; the request can still take effect. */
	isAbandoned?: boolean;
};

/** The default of the setting `[platform] request-timeout-milliseconds`. */
const platformTimeoutMilliseconds = 2000;

type Sender = {readonly process: number; readonly restartedAt: number};

export const createNetwork = ({sender, time}: {readonly sender: (name: string) => Sender; readonly time: () => number}) => {
	const calls: Call[] = [];
	const disconnectedLinks = new Set<string>();
	let isPlatformHung = false;

	const isFromEndedProcess = ({from, process}: Call): boolean => process !== sender(from).process;
	const isDisconnected = ({from, to}: Call): boolean => disconnectedLinks.has(`${from}-${to}`) || disconnectedLinks.has(`${to}-${from}`);
	const remove = (call: Call): void => {
		calls.splice(calls.indexOf(call), 1);
	};

	const abandon = (call: Call | undefined): void => {
		call?.fail(StoreErrorKind.Unknown);
		if (call?.answer !== undefined) {
			remove(call);
		} else if (call !== undefined) {
			call.isAbandoned = true;
		}
	};

	const isAwaited = (call: Call): boolean => !isFromEndedProcess(call) && call.isAbandoned !== true;
	const isHung = (call: Call): boolean => isPlatformHung && call.to === 'platform';

	return {
		calls,
		disconnectedLinks,
		send: async <Value, Failure>(options: {
			readonly from: string; readonly to: string; readonly process: number; readonly isWrite?: boolean;
			readonly apply: () => Result<Value, Failure>; readonly toError: (kind: StoreErrorKind) => Failure;
		}): Promise<Result<Value, Failure>> => new Promise(resolve => {
			const {from, to, process, apply, toError, isWrite = false} = options;
			calls.push({
				from,
				to,
				process,
				isWrite,
				sentAt: time(),
				apply() {
					const answer = apply();
					return () => {
						resolve(answer);
					};
				},
				fail(kind) {
					resolve(err(toError(kind)));
				},
			});
		}),
		/** Delivers the request of a call, or its response if the request was delivered before. */
		deliver(call: Call): void {
			if (isFromEndedProcess(call) && time() - sender(call.from).restartedAt >= previousProcessWriteMilliseconds) {
				remove(call);
			} else if (call.answer === undefined && isDisconnected(call) && !isFromEndedProcess(call) && call.isAbandoned !== true) {
				remove(call);
				call.fail(StoreErrorKind.NotApplied);
			} else if (call.answer === undefined) {
				call.answer = call.apply();
			} else {
				remove(call);
				if (isDisconnected(call)) {
					call.fail(StoreErrorKind.Unknown);
				} else if (!isFromEndedProcess(call)) {
					call.answer();
				}
			}
		},
		/** The caller times out; the request stays in the network and may take effect later. */
		abandon,
		/** Calls to the platform get no response and time out. */
		hangPlatform(): void {
			isPlatformHung = true;
		},
		timeOutHung(): void {
			for (const call of calls.filter(candidate => isHung(candidate) && isAwaited(candidate) && time() - candidate.sentAt >= platformTimeoutMilliseconds)) {
				abandon(call);
			}
		},
		refuseRequest(call: Call | undefined): void {
			if (call !== undefined && call.answer === undefined) {
				remove(call);
				call.fail(StoreErrorKind.NotApplied);
			}
		},
		pick: (index: number): Call | undefined => calls[index % Math.max(1, calls.length)],
		/** A call whose caller has timed out or ended. */
		findUnawaited: (): Call | undefined => calls.find(call => call.isAbandoned ?? isFromEndedProcess(call)),
		findAwaited: (): Call | undefined => calls.find(call => isAwaited(call) && !isHung(call)),
	};
};
