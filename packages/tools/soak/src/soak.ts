/** One seed of the soak: injects faults in series and overlapping, and returns what was seen. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Programs, ProgramsReport} from './programs.js';
import {pause, playPrograms} from './programs.js';
import type {ProxyFault} from './proxy.js';

const longestPauseMilliseconds = 1500;
const longestFaultMilliseconds = 4000;
/** Longer than the pause between SIGTERM and the end of a process. */
const stopMilliseconds = 4000;

export type SoakReport = ProgramsReport & {readonly faults: readonly string[]};

export const runSoak = async (options: {readonly seed: number; readonly faults: number}): Promise<SoakReport> => {
	const {seed, faults} = options;
	const generator = xoroshiro128plus(seed);
	const draw = (low: number, high: number): number => uniformInt(generator, low, high);
	const choose = <Value>(list: readonly Value[]): Value => list[draw(0, list.length - 1)]!;
	const seen: string[] = [];

	const disturbOnce = async ({instances, storeProxy, workerProxies, crashWorker}: Programs): Promise<void> => {
		const milliseconds = draw(200, longestFaultMilliseconds);
		const instance = choose(instances);
		const kind = choose(['kill', 'pause', 'stop', 'store', 'worker', 'crash'] as const);
		const link: ProxyFault = choose([
			{type: 'delay', milliseconds: draw(20, 400)},
			{type: 'reset'},
			{type: 'silence', direction: 'both'},
			{type: 'silence', direction: 'to-client'},
			{type: 'silence', direction: 'to-server'},
		] as const);
		seen.push(`${kind} ${kind === 'store' || kind === 'worker' ? JSON.stringify(link) : instance.name} ${milliseconds} ms`);
		switch (kind) {
			case 'kill': {
				instance.signal('SIGKILL');
				await instance.restart(milliseconds / 2);
				break;
			}

			case 'pause': {
				instance.signal('SIGSTOP');
				await pause(milliseconds);
				instance.signal('SIGCONT');
				break;
			}

			case 'stop': {
				instance.signal('SIGTERM');
				await instance.restart(stopMilliseconds);
				break;
			}

			case 'store':
			case 'worker': {
				const proxy = kind === 'store' ? storeProxy : choose(workerProxies);
				proxy.setFault(link);
				await pause(milliseconds);
				proxy.setFault({type: 'none'});
				break;
			}

			case 'crash': {
				crashWorker(draw(0, 100));
				break;
			}
		}
	};

	const report = await playPrograms({
		seed,
		async disturb(programs) {
			const running: Array<Promise<void>> = [];
			for (let index = 0; index < faults; index += 1) {
				running.push(disturbOnce(programs));
				// eslint-disable-next-line no-await-in-loop -- Faults begin one after the other and overlap.
				await pause(draw(100, longestPauseMilliseconds));
			}

			await Promise.all(running);
		},
	});
	return {...report, faults: seen};
};
