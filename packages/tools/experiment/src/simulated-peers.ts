/** How simulated instances reach each other: a call over the simulated network instead of HTTP. */
import type {JobService, PeerTransport} from '@turmericbay/job-service';
import type {Network} from './network.js';
import {Service} from './network.js';
import type {SimulatedProcess, VirtualTime} from './virtual-time.js';

/** One way between zones. */
const peerLatencyMilliseconds = 1;
const peerTimeoutMilliseconds = 300;

export type SimulatedInstance = {readonly process: SimulatedProcess; readonly service: JobService};

export const createSimulatedPeers = (options: {
	readonly name: string;
	readonly network: Network;
	readonly time: VirtualTime;
	/** The newest life of an instance. */
	readonly find: (name: string) => SimulatedInstance | undefined;
}): PeerTransport => {
	const {name, network, time, find} = options;
	const ask = async <Answer>(address: string | undefined, act: (owner: NonNullable<ReturnType<JobService['owner']>>) => Answer): Promise<Answer | undefined> => {
		if (address === undefined) {
			return undefined;
		}

		const outcome = await network.call<Answer | undefined>({
			service: Service.Peers, called: address, latency: peerLatencyMilliseconds, timeout: peerTimeoutMilliseconds,
			handle(answer) {
				const callee = find(address);
				if (callee) {
					time.deliver(callee.process, () => {
						const owner = callee.service.owner();
						answer(owner && act(owner));
					});
				}
			},
		});
		return outcome.type === 'answered' ? outcome.answer : undefined;
	};

	return {
		address: name,
		createOwnerClient: ({getLocalOwner, getRemoteOwner}) => ({
			notifyJobStored(declaration, revision) {
				const owner = getLocalOwner();
				if (owner) {
					owner.addJob(declaration, revision);
				} else {
					void ask(getRemoteOwner()?.address, other => {
						other.addJob(declaration, revision);
					});
				}
			},
			notifyJobCancelled(id) {
				const owner = getLocalOwner();
				if (owner) {
					owner.cancel(id);
				} else {
					void ask(getRemoteOwner()?.address, other => {
						other.cancel(id);
					});
				}
			},
			getJobState: async id => getLocalOwner()?.getJobState(id) ?? ask(getRemoteOwner()?.address, other => other.getJobState(id)),
			countPending: async queue => getLocalOwner()?.countPending(queue) ?? ask(getRemoteOwner()?.address, other => other.countPending(queue)),
		}),
		serve: () => undefined,
		close: () => undefined,
	};
};
