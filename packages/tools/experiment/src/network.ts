/** Simulated network calls from processes to the store, workers, machines and peers, with latency and injected faults. */
import type {SimulatedProcess, VirtualTime} from './virtual-time.js';

export type CallFailure = 'refused' | 'timeout';
export type CallOutcome<Response> = {readonly type: 'answered'; readonly response: Response} | {readonly type: CallFailure};

export enum Service {
	Store = 'store',
	Machines = 'machines',
	Workers = 'workers',
	Peers = 'peers',
}

export type NetworkFault = {
	/** Names of the calling processes that the fault affects; undefined for all. */
	readonly callers: ReadonlySet<string> | undefined;
	readonly service: Service;
	/** Names of the called workers, machines or peers that the fault affects; undefined for all. */
	readonly callees: ReadonlySet<string> | undefined;
	/**
	 * `cut`: the request is lost. `refuse`: the call fails at once without being executed. `lose`: executed, but the response is lost.
	 * `late`: executed seconds later, and the response is lost. `slow`: both directions take longer.
	 */
	readonly effect: 'cut' | 'refuse' | 'lose' | 'late' | 'slow';
	/** Probability that a call is affected, 0 to 1. */
	readonly probability: number;
	readonly endsAt: number;
};

/** Bounds of the delay of a `late` call; the users name delays of 2 to 12 s. */
const maximumLateMilliseconds = 8000;
const minimumLateMilliseconds = 1500;
/** Factor on the latency of a `slow` call. */
const slowFactor = 50;

export type Network = ReturnType<typeof createNetwork>;

export const createNetwork = (options: {readonly time: VirtualTime; readonly random: () => number}) => {
	const {time, random} = options;
	let faults: NetworkFault[] = [];

	const drawEffect = (caller: string, service: Service, callee: string): NetworkFault['effect'] | undefined => {
		faults = faults.filter(fault => fault.endsAt > time.now());
		for (const fault of faults) {
			const isAffected = fault.service === service && (fault.callers?.has(caller) ?? true) && (fault.callees?.has(callee) ?? true);
			if (isAffected && random() < fault.probability) {
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
		isDisconnected(caller: string, service: Service): boolean {
			const effect = drawEffect(caller, service, '');
			return effect === 'cut' || effect === 'refuse';
		},
		/** `execute` runs the call at the callee and responds through its argument, immediately or later. */
		async call<Response>(call: {
			readonly service: Service;
			readonly callee: string;
			/** Milliseconds in one direction. */
			readonly latency: number;
			readonly timeout: number;
			readonly execute: (respond: (value: Response) => void) => void;
		}): Promise<CallOutcome<Response>> {
			const {service, callee, timeout, execute} = call;
			const caller: SimulatedProcess | undefined = time.getCurrentProcess();
			const effect = drawEffect(caller?.name ?? '', service, callee);
			const latency = effect === 'slow' ? call.latency * slowFactor : call.latency;
			return new Promise(resolve => {
				let isSettled = false;
				const finish = (outcome: CallOutcome<Response>): void => {
					if (!isSettled) {
						isSettled = true;
						resolve(outcome);
					}
				};

				time.scheduleAfter(timeout, () => {
					time.runInProcess(caller, () => {
						finish({type: 'timeout'});
					});
				});
				if (effect === 'cut') {
					return;
				}

				if (effect === 'refuse') {
					time.scheduleAfter(latency, () => {
						time.runInProcess(caller, () => {
							finish({type: 'refused'});
						});
					});
					return;
				}

				const delay = effect === 'late' ? minimumLateMilliseconds + (random() * (maximumLateMilliseconds - minimumLateMilliseconds)) : latency;
				time.scheduleAfter(delay, () => {
					execute(value => {
						if (effect === 'lose' || effect === 'late') {
							return;
						}

						time.scheduleAfter(latency, () => {
							time.runInProcess(caller, () => {
								finish({type: 'answered', response: value});
							});
						});
					});
				});
			});
		},
	};
};
