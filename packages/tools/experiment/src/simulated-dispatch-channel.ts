/** Channels between an owner and its dispatchers over the simulated network. */
import type {ChannelHandlers, DispatchChannel, OpenDispatchChannel} from '@turmericbay/job-service';
import type {Network} from './network.js';
import {Service} from './network.js';
import type {SimulatedInstance} from './simulated-peers.js';
import type {SimulatedProcess, VirtualTime} from './virtual-time.js';

/** No line is answered; the time only bounds how long the simulated call is kept. */
const lineTimeoutMilliseconds = 300;

type End = {readonly name: string; readonly process: SimulatedProcess; handlers: ChannelHandlers | undefined; isOpen: boolean};

/** Delivers the lines of one direction in order. As with TCP, a lost line holds back those after it, and a late one delivers them late. */
const createDirection = (options: {readonly network: Network; readonly time: VirtualTime; readonly latencyMilliseconds: number; readonly to: End}) => {
	const {network, time, latencyMilliseconds, to} = options;
	const arrived = new Map<number, string>();
	let nextSent = 0;
	let nextDelivered = 0;
	const deliver = (): void => {
		for (let line = arrived.get(nextDelivered); line !== undefined; line = arrived.get(nextDelivered)) {
			arrived.delete(nextDelivered);
			nextDelivered += 1;
			if (to.isOpen) {
				to.handlers?.onLine(line);
			}
		}
	};

	return (line: string): void => {
		const sequence = nextSent;
		nextSent += 1;
		void network.call<undefined>({
			service: Service.Peers, callee: to.name, latency: latencyMilliseconds, timeout: lineTimeoutMilliseconds,
			execute() {
				time.runInProcess(to.process, () => {
					arrived.set(sequence, line);
					deliver();
				});
			},
		});
	};
};

export const createSimulatedDispatchChannels = (options: {
	/** Name of the opening instance. */
	readonly name: string;
	readonly network: Network;
	readonly time: VirtualTime;
	readonly findInstance: (name: string) => SimulatedInstance | undefined;
	readonly latencyMilliseconds: number;
}): OpenDispatchChannel => {
	const {name, network, time, findInstance, latencyMilliseconds} = options;

	const createChannel = (own: End, other: End): DispatchChannel => {
		const send = createDirection({
			network, time, latencyMilliseconds, to: other,
		});
		return {
			send,
			bufferedBytes: () => 0,
			close() {
				own.isOpen = false;
				// The other end is told unless the network loses the message; then it notices the silence.
				void network.call<undefined>({
					service: Service.Peers, callee: other.name, latency: latencyMilliseconds, timeout: lineTimeoutMilliseconds,
					execute() {
						time.runInProcess(other.process, () => {
							if (other.isOpen) {
								other.isOpen = false;
								other.handlers?.onClosed('the connection was closed');
							}
						});
					},
				});
			},
		};
	};

	return ({address, epoch, onLine, onClosed}) => {
		const callee = findInstance(address);
		const opener = time.getCurrentProcess();
		if (!callee || !opener) {
			return {send: () => undefined, bufferedBytes: () => 0, close: () => undefined};
		}

		const owner: End = {
			name, process: opener, handlers: {onLine, onClosed}, isOpen: true,
		};
		const dispatcher: End = {
			name: address, process: callee.process, handlers: undefined, isOpen: true,
		};
		const ownerChannel = createChannel(owner, dispatcher);
		const dispatcherChannel = createChannel(dispatcher, owner);
		void network.call<undefined>({
			service: Service.Peers, callee: address, latency: latencyMilliseconds, timeout: lineTimeoutMilliseconds,
			execute() {
				time.runInProcess(dispatcher.process, () => {
					dispatcher.handlers = callee.service.acceptDispatchChannel(epoch, dispatcherChannel);
					if (!dispatcher.handlers) {
						dispatcherChannel.close();
					}
				});
			},
		});
		return ownerChannel;
	};
};
