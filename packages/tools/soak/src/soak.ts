/** Runs one seed of the soak: injects sequential and overlapping faults and reports the outcome. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Cluster, ClusterReport} from './cluster.js';
import {runCluster, sleep} from './cluster.js';
import type {ProxyFault} from './proxy.js';

const maximumFaultIntervalMilliseconds = 1500;
const maximumFaultMilliseconds = 4000;
/** Longer than a process takes to exit after SIGTERM. */
const shutdownMilliseconds = 4000;

export type SoakReport = ClusterReport & {readonly faults: readonly string[]};

export const runSoak = async (options: {readonly seed: number; readonly faults: number}): Promise<SoakReport> => {
	const {seed, faults} = options;
	const generator = xoroshiro128plus(seed);
	const drawInteger = (low: number, high: number): number => uniformInt(generator, low, high);
	const choose = <Value>(list: readonly Value[]): Value => list[drawInteger(0, list.length - 1)]!;
	const injectedFaults: string[] = [];

	const injectFault = async ({instances, storeProxy, workerProxies, crashWorker}: Cluster): Promise<void> => {
		const milliseconds = drawInteger(200, maximumFaultMilliseconds);
		const instance = choose(instances);
		const kind = choose(['kill', 'pause', 'stop', 'store', 'worker', 'crash'] as const);
		const linkFault: ProxyFault = choose([
			{type: 'delay', milliseconds: drawInteger(20, 400)},
			{type: 'reset'},
			{type: 'silence', direction: 'both'},
			{type: 'silence', direction: 'to-client'},
			{type: 'silence', direction: 'to-server'},
		] as const);
		injectedFaults.push(`${kind} ${kind === 'store' || kind === 'worker' ? JSON.stringify(linkFault) : instance.name} ${milliseconds} ms`);
		switch (kind) {
			case 'kill': {
				instance.signal('SIGKILL');
				await instance.restart(milliseconds / 2);
				break;
			}

			case 'pause': {
				instance.signal('SIGSTOP');
				await sleep(milliseconds);
				instance.signal('SIGCONT');
				break;
			}

			case 'stop': {
				instance.signal('SIGTERM');
				await instance.restart(shutdownMilliseconds);
				break;
			}

			case 'store':
			case 'worker': {
				const proxy = kind === 'store' ? storeProxy : choose(workerProxies);
				proxy.setFault(linkFault);
				await sleep(milliseconds);
				proxy.setFault({type: 'none'});
				break;
			}

			case 'crash': {
				crashWorker(drawInteger(0, 100));
				break;
			}
		}
	};

	const report = await runCluster({
		seed,
		async injectFaults(cluster) {
			const pendingFaults: Array<Promise<void>> = [];
			for (let index = 0; index < faults; index += 1) {
				pendingFaults.push(injectFault(cluster));
				// eslint-disable-next-line no-await-in-loop -- Faults start one after the other and may overlap.
				await sleep(drawInteger(100, maximumFaultIntervalMilliseconds));
			}

			await Promise.all(pendingFaults);
		},
	});
	return {...report, faults: injectedFaults};
};
