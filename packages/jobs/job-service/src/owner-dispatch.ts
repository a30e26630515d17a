/** Worker calls of one owner: sets up the dispatchers and the client that uses them. */
import type {OpenDispatchChannel} from './dispatch-channel.js';
import {checkIntervalMilliseconds} from './dispatch-protocol.js';
import {defaultLargestDirectFleet} from './dispatch-selection.js';
import type {CallRoute} from './dispatched-worker-client.js';
import {createDispatchedWorkerClient} from './dispatched-worker-client.js';
import type {DispatcherLog} from './dispatcher-directory.js';
import {createDispatcherDirectory} from './dispatcher-directory.js';
import type {Clock, WorkerClient} from './ports.js';

/** Calls are counted in memory and reported at this interval, since each update of a metric renders its labels. */
const reportIntervalMilliseconds = 1000;

export type DispatchLog = DispatcherLog & {
	/** Calls since the last report. */
	workerCallsCounted(route: CallRoute, outcome: string, calls: number): void;
	dispatchersCounted(inUse: number): void;
};

export const createOwnerDispatch = (options: {
	readonly epoch: number;
	readonly instance: string;
	/** Calls workers from this instance. */
	readonly workerClient: WorkerClient;
	readonly openDispatchChannel: OpenDispatchChannel;
	readonly clock: Clock;
	/** Fleets of at most this many workers are called directly. */
	readonly largestDirectFleet?: number;
	readonly workers: ReadonlyMap<string, {readonly registration: {readonly zone: string}}>;
	/** Machines of all pools, including those in standby, which run no worker. */
	readonly getMachineCount?: () => number;
	readonly log: DispatchLog;
}) => {
	const {epoch, instance, workerClient: direct, openDispatchChannel: openChannel, clock, workers, getMachineCount = () => 0, log, largestDirectFleet = defaultLargestDirectFleet} = options;
	let isEnded = false;
	/** The most workers or machines so far: machines leave for standby between bursts, and the connections have to be open when a burst brings them back. */
	let fleetSize = 0;
	const isLargeFleet = (): boolean => {
		fleetSize = Math.max(fleetSize, workers.size, getMachineCount());
		return fleetSize > largestDirectFleet;
	};

	let reportedAt = clock.now();
	const counts = new Map<string, {readonly route: CallRoute; readonly outcome: string; calls: number}>();
	const directory = createDispatcherDirectory({
		epoch, instance, openChannel, clock, log, isEnabled: isLargeFleet,
	});

	const report = (): void => {
		for (const {route, outcome, calls} of counts.values()) {
			log.workerCallsCounted(route, outcome, calls);
		}

		counts.clear();
		log.dispatchersCounted(directory.readyDispatchers());
	};

	const timer = setInterval(() => {
		directory.check();
		if (clock.now() - reportedAt >= reportIntervalMilliseconds) {
			reportedAt = clock.now();
			report();
		}
	}, checkIntervalMilliseconds);

	return {
		workerClient: createDispatchedWorkerClient({
			direct, directory, clock,
			getZone: worker => workers.get(worker)?.registration.zone,
			isEnded: () => isEnded,
			countCall(route, outcome) {
				const key = `${route} ${outcome}`;
				const count = counts.get(key);
				if (count) {
					count.calls += 1;
				} else {
					counts.set(key, {route, outcome, calls: 1});
				}
			},
		}),
		register: directory.register,
		end(): void {
			isEnded = true;
			clearInterval(timer);
			directory.end();
			report();
		},
	};
};
