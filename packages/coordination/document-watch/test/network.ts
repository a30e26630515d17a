/** Messages under way; every step of each is explicit. */
import {StoreErrorKind} from '@turmericbay/types';
import {err} from 'neverthrow';
import type {Result} from 'neverthrow';
import {predecessorWriteMilliseconds} from '../src/state.js';

export type Call = {
	readonly from: string;
	readonly to: string;
	/** Process that sent the call; a restart makes it a stray one. */
	readonly process: number;
	readonly isWrite: boolean;
	/** Has its effect at the target and returns what delivers the answer. */
	readonly apply: () => () => void;
	readonly fail: (kind: StoreErrorKind) => void;
	readonly sentAt: number;
	answer?: (() => void) | undefined;
	/** The caller has given up; the request can still have its effect. */
	isAbandoned?: boolean;
};

/** The default of the setting `[platform] request-timeout-milliseconds`. */
const platformTimeoutMilliseconds = 2000;

type Sender = {readonly process: number; readonly restartedAt: number};

export const createNetwork = ({sender, time}: {readonly sender: (name: string) => Sender; readonly time: () => number}) => {
	const calls: Call[] = [];
	const cut = new Set<string>();
	let isPlatformHung = false;

	const isStray = ({from, process}: Call): boolean => process !== sender(from).process;
	const isCut = ({from, to}: Call): boolean => cut.has(`${from}-${to}`) || cut.has(`${to}-${from}`);
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

	const isWaited = (call: Call): boolean => !isStray(call) && call.isAbandoned !== true;
	const isHung = (call: Call): boolean => isPlatformHung && call.to === 'platform';

	return {
		calls,
		cut,
		send: async <Value, Fault>(options: {
			readonly from: string; readonly to: string; readonly process: number; readonly isWrite?: boolean;
			readonly apply: () => Result<Value, Fault>; readonly toFault: (kind: StoreErrorKind) => Fault;
		}): Promise<Result<Value, Fault>> => new Promise(resolve => {
			const {from, to, process, apply, toFault, isWrite = false} = options;
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
					resolve(err(toFault(kind)));
				},
			});
		}),
		/** Moves a call on by one leg: its request takes effect, or its answer arrives. */
		deliver(call: Call): void {
			if (isStray(call) && time() - sender(call.from).restartedAt >= predecessorWriteMilliseconds) {
				remove(call);
			} else if (call.answer === undefined && isCut(call) && !isStray(call) && call.isAbandoned !== true) {
				remove(call);
				call.fail(StoreErrorKind.NotApplied);
			} else if (call.answer === undefined) {
				call.answer = call.apply();
			} else {
				remove(call);
				if (isCut(call)) {
					call.fail(StoreErrorKind.Unknown);
				} else if (!isStray(call)) {
					call.answer();
				}
			}
		},
		/** The caller gives up; the request stays in the network and may have its effect later. */
		abandon,
		/** Calls to the platform get no answer and time out. */
		hangPlatform(): void {
			isPlatformHung = true;
		},
		expireHung(): void {
			for (const call of calls.filter(candidate => isHung(candidate) && isWaited(candidate) && time() - candidate.sentAt >= platformTimeoutMilliseconds)) {
				abandon(call);
			}
		},
		refuse(call: Call | undefined): void {
			if (call !== undefined && call.answer === undefined) {
				remove(call);
				call.fail(StoreErrorKind.NotApplied);
			}
		},
		pick: (index: number): Call | undefined => calls[index % Math.max(1, calls.length)],
		/** A call whose caller no longer waits. */
		findUnwaited: (): Call | undefined => calls.find(call => call.isAbandoned ?? isStray(call)),
		findWaited: (): Call | undefined => calls.find(call => isWaited(call) && !isHung(call)),
	};
};
