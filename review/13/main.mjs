/** A planned stop of the owner just after a job was cancelled: the next owner does not count the runs that are still being stopped. */
import {fileURLToPath} from 'node:url';
import {
	createConsumer, findOwner, isTroubled, openRecord, runCase, siteBounds, startInstances,
} from '../lib-3/deployment.mjs';
import {sleep} from '../lib-3/http.mjs';
import {startRunner} from '../lib-3/runner.mjs';
import {startStore} from '../lib-3/store.mjs';

/** `stopMs`, `quotaExcess` and `holdMaxMs` of the site. */
const stopMilliseconds = 900;
const quotaExcess = 0.1;
const holdMaxMilliseconds = 6000;
const maximumCpu = 4000;
const subtaskCpu = 1000;
const subtaskCount = 4;
const runnerCapacity = {cpu: 8000, memMb: 32_768, gpu: 0};
/** Time from the acknowledgement of the cancelling to the SIGTERM: the stops are under way by then. */
const stopDelayMilliseconds = 120;
const queue = {queueHost: 'orders.example', prefix: '/bulk/', key: 'key-of-maker'};

await runCase(async onEnd => {
	const record = openRecord(fileURLToPath(new URL('.', import.meta.url)));
	const store = await startStore();
	onEnd(() => {
		store.close();
	});
	store.put('op/config', {
		version: 1, limits: {maxBodyBytes: 65_536}, services: [{name: 'wholesale', enforcesCapacity: true}],
		routes: [{
			name: 'bulk', host: queue.queueHost, prefix: queue.prefix, timeoutMs: 3000, sloMs: 600, priority: 0, service: 'wholesale', maxAttempts: 3, stretch: 1.6,
		}],
		tenants: [{
			name: 'maker', apiKeys: [queue.key], weight: 1, maximum: {cpu: maximumCpu, memMb: 0, gpu: 0},
		}],
	});

	/** Runs of the tenant on all runners, including those that are being stopped. */
	let running = 0;
	let largest = 0;
	let broken = false;
	const onEvent = event => {
		running += event.type === 'started' ? 1 : (event.type === 'ended' ? -1 : 0);
		record('runner', event, 'tenant has running', `${running * subtaskCpu}`);
		largest = Math.max(largest, running);
		if (event.type === 'started' && running * subtaskCpu > (maximumCpu * (1 + quotaExcess)) + subtaskCpu) {
			broken = true;
			record('QUOTA', event.task, 'brings the tenant to', `${running * subtaskCpu}`, 'of', `${maximumCpu}`);
		}
	};

	const getWork = () => ({
		cpu: subtaskCpu, memMb: 500, gpu: 0, durationMs: 15_000, lasts: false,
	});
	const runners = await Promise.all([0, 1].map(async index => startRunner({
		id: `i-wholesale-${index}`, service: 'wholesale', zone: 'zone-a', capacity: runnerCapacity, labels: ['a', `r1-${index}`],
		stopMs: stopMilliseconds, holdMaxMs: holdMaxMilliseconds, store, getWork, onEvent,
	})));
	onEnd(() => {
		for (const runner of runners) {
			runner.close();
		}
	});

	const deployment = await startInstances({
		count: 3, storeAddress: store.address, record, bounds: {...siteBounds, holdMaxMs: holdMaxMilliseconds, farFactor: 3},
	});
	onEnd(deployment.end);
	await deployment.waitUntilReady();
	const call = createConsumer({...queue, record});
	const job = {
		spec: 'bulk', steps: [{
			count: subtaskCount, cpu: subtaskCpu, memMb: 500, estimateMs: 15_000,
		}],
	};

	const waitFor = async (isReached, what) => {
		for (let attempt = 0; !isReached(); attempt += 1) {
			if (attempt > 400) {
				throw new Error(`no ${what}`);
			}

			// eslint-disable-next-line no-await-in-loop -- Polls.
			await sleep(25);
		}
	};

	await waitFor(() => findOwner(store, deployment.instances) !== undefined, 'owner');
	for (let round = 0; round < 3; round += 1) {
		const owner = findOwner(store, deployment.instances);
		const other = deployment.instances.find(instance => instance !== owner);
		const first = `${round}a00000000000001`;
		const second = `${round}b00000000000002`;
		/* eslint-disable no-await-in-loop -- One step after the other. */
		await call(other, 'POST', first, job);
		await waitFor(() => running === subtaskCount, 'runs of the first job');
		await call(other, 'POST', second, job);
		await sleep(1500);
		await call(other, 'DELETE', first);
		await sleep(stopDelayMilliseconds);
		if (isTroubled) {
			owner.signal('SIGTERM');
		}

		await sleep(6500);
		await call(other, 'DELETE', second);
		await waitFor(() => running === 0, 'end of the runs');
		if (isTroubled) {
			owner.restart();
			await sleep(2000);
		}
		/* eslint-enable no-await-in-loop */
	}

	record('most that the tenant had running:', `${largest * subtaskCpu}`, 'maximum', `${maximumCpu}`);
	return broken;
});
