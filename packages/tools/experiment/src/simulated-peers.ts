/** Peer transport of simulated instances: calls over the simulated network instead of HTTP. */
import type {JobService, PeerTransport} from '@turmericbay/job-service';
import {createFiguresCache} from '@turmericbay/job-service';
import type {Network} from './network.js';
import {Service} from './network.js';
import {createSimulatedDispatchChannels} from './simulated-dispatch-channel.js';
import type {SimulatedProcess, VirtualTime} from './virtual-time.js';

/** Latency in one direction between availability zones. */
const peerLatencyMilliseconds = 1;
const peerTimeoutMilliseconds = 300;

export type SimulatedInstance = {readonly process: SimulatedProcess; readonly service: JobService};

export const createSimulatedPeers = (options: {
	readonly name: string;
	readonly network: Network;
	readonly time: VirtualTime;
	/** Finds the latest incarnation of an instance. */
	readonly findInstance: (name: string) => SimulatedInstance | undefined;
}): PeerTransport => {
	const {name, network, time, findInstance} = options;
	const callInstance = async <Answer>(address: string | undefined, operation: (service: JobService) => Answer): Promise<Answer | undefined> => {
		if (address === undefined) {
			return undefined;
		}

		const outcome = await network.call<Answer | undefined>({
			service: Service.Peers, callee: address, latency: peerLatencyMilliseconds, timeout: peerTimeoutMilliseconds,
			execute(respond) {
				const callee = findInstance(address);
				if (callee) {
					time.runInProcess(callee.process, () => {
						respond(operation(callee.service));
					});
				}
			},
		});
		return outcome.type === 'answered' ? outcome.response : undefined;
	};

	const callOwner = async <Answer>(address: string | undefined, operation: (owner: NonNullable<ReturnType<JobService['owner']>>) => Answer): Promise<Answer | undefined> =>
		callInstance(address, service => {
			const owner = service.owner();
			return owner && operation(owner);
		});

	return {
		address: name,
		createOwnerClient({clock, getLocalOwner, getRemoteOwner}) {
			const figures = createFiguresCache({now: clock.now});
			return {
				notifyJobStored(declaration, revision) {
					const owner = getLocalOwner();
					if (owner) {
						owner.addJob(declaration, revision);
					} else {
						const sentAt = clock.now();
						const isRequested = figures.takeRequest();
						void callOwner(getRemoteOwner()?.address, remoteOwner => {
							remoteOwner.addJob(declaration, revision);
							return isRequested ? remoteOwner.getLoadFigures() : undefined;
						}).then(response => {
							figures.record(response, sentAt);
						});
					}
				},
				notifyJobCancelled(id) {
					const owner = getLocalOwner();
					if (owner) {
						owner.cancel(id);
					} else {
						void callOwner(getRemoteOwner()?.address, remoteOwner => {
							remoteOwner.cancel(id);
						});
					}
				},
				async getJobState(id) {
					const owner = getLocalOwner();
					if (owner) {
						return owner.getJobState(id);
					}

					const sentAt = clock.now();
					const isRequested = figures.takeRefresh();
					const response = await callOwner(getRemoteOwner()?.address, remoteOwner => ({state: remoteOwner.getJobState(id), ...(isRequested && remoteOwner.getLoadFigures())}));
					figures.record(response, sentAt);
					return response?.state;
				},
				countPending: async queue => getLocalOwner()?.countPending(queue) ?? callOwner(getRemoteOwner()?.address, remoteOwner => remoteOwner.countPending(queue)),
				getLoadFigures: () => figures.newest(getLocalOwner()?.getLoadFigures()),
				requestTransfer(epoch) {
					void callInstance(getRemoteOwner()?.address, service => {
						service.yieldOwnership(epoch);
					});
				},
				registerDispatcher(registration) {
					void callOwner(getRemoteOwner()?.address, remoteOwner => {
						remoteOwner.registerDispatcher(registration);
					});
				},
			};
		},
		openDispatchChannel: createSimulatedDispatchChannels({
			name, network, time, findInstance, latencyMilliseconds: peerLatencyMilliseconds,
		}),
		serve: () => undefined,
		close: () => undefined,
	};
};
