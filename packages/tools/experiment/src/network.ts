/** Calls between simulated processes, the store and workers: they take time, may be cut, lost, or carried out late. */
import type {SimulatedProcess, VirtualTime} from './virtual-time.js';

export type CallFailure = 'refused' | 'timeout';
export type CallOutcome<Answer> = {readonly type: 'answered'; readonly answer: Answer} | {readonly type: CallFailure};

export enum Service {
	Store = 'store',
	Machines = 'machines',
	Workers = 'workers',
	Peers = 'peers',
}

export type NetworkFault = {
	/** Names of processes that the fault affects; undefined for all. */
	readonly callers: ReadonlySet<string> | undefined;
	readonly service: Service;
	/** Names of the called ones; undefined for all. */
	readonly called: ReadonlySet<string> | undefined;
	/**
	 * `cut`: nothing arrives. `refuse`: an error at once, nothing done. `lose`: done, no answer.
	 * `late`: no answer, and carried out seconds later. `slow`: takes longer.
	 */
	readonly effect: 'cut' | 'refuse' | 'lose' | 'late' | 'slow';
	/** Share of the calls, 0 to 1. */
	readonly share: number;
	readonly until: number;
};

/** A call that is carried out late comes this much later, at most; the users' kinds name 2 to 12 s. */
const longestLateMilliseconds = 8000;
const shortestLateMilliseconds = 1500;
/** A slow service takes this many times as long. */
const slowFactor = 50;

export type Network = ReturnType<typeof createNetwork>;

export const createNetwork = (options: {readonly time: VirtualTime; readonly random: () => number}) => {
	const {time, random} = options;
	let faults: NetworkFault[] = [];

	const decide = (caller: string, service: Service, called: string): NetworkFault['effect'] | undefined => {
		faults = faults.filter(fault => fault.until > time.now());
		for (const fault of faults) {
			const isAffected = fault.service === service && (fault.callers?.has(caller) ?? true) && (fault.called?.has(called) ?? true);
			if (isAffected && random() < fault.share) {
				return fault.effect;
			}
		}

		return undefined;
	};

	return {
		addFault(fault: NetworkFault): void {
			faults.push(fault);
		},
		clearFaults(): void {
			faults = [];
		},
		isCut(caller: string, service: Service): boolean {
			const effect = decide(caller, service, '');
			return effect === 'cut' || effect === 'refuse';
		},
		/** `handle` carries the call out and answers through its argument, at once or later. */
		async call<Answer>(call: {
			readonly service: Service;
			readonly called: string;
			/** One way, milliseconds. */
			readonly latency: number;
			readonly timeout: number;
			readonly handle: (answer: (value: Answer) => void) => void;
		}): Promise<CallOutcome<Answer>> {
			const {service, called, timeout, handle} = call;
			const owner: SimulatedProcess | undefined = time.current();
			const effect = decide(owner?.name ?? '', service, called);
			const latency = effect === 'slow' ? call.latency * slowFactor : call.latency;
			return new Promise(resolve => {
				let isOver = false;
				const finish = (outcome: CallOutcome<Answer>): void => {
					if (!isOver) {
						isOver = true;
						resolve(outcome);
					}
				};

				time.after(timeout, () => {
					time.deliver(owner, () => {
						finish({type: 'timeout'});
					});
				});
				if (effect === 'cut') {
					return;
				}

				if (effect === 'refuse') {
					time.after(latency, () => {
						time.deliver(owner, () => {
							finish({type: 'refused'});
						});
					});
					return;
				}

				const delay = effect === 'late' ? shortestLateMilliseconds + (random() * (longestLateMilliseconds - shortestLateMilliseconds)) : latency;
				time.after(delay, () => {
					handle(value => {
						if (effect === 'lose' || effect === 'late') {
							return;
						}

						time.after(latency, () => {
							time.deliver(owner, () => {
								finish({type: 'answered', answer: value});
							});
						});
					});
				});
			});
		},
	};
};
