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
		createLink: ({localOwner, remoteOwner}) => ({
			announceJob(declaration, revision) {
				const owner = localOwner();
				if (owner) {
					owner.addJob(declaration, revision);
				} else {
					void ask(remoteOwner()?.address, other => {
						other.addJob(declaration, revision);
					});
				}
			},
			announceCancellation(id) {
				const owner = localOwner();
				if (owner) {
					owner.cancel(id);
				} else {
					void ask(remoteOwner()?.address, other => {
						other.cancel(id);
					});
				}
			},
			describe: async id => localOwner()?.describe(id) ?? ask(remoteOwner()?.address, other => other.describe(id)),
			countPending: async queue => localOwner()?.countPending(queue) ?? ask(remoteOwner()?.address, other => other.countPending(queue)),
		}),
		serve: () => undefined,
		close: () => undefined,
	};
};
