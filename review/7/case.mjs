/** The instance that schedules is stopped for a restart while runs of a cancelled job are still being stopped: what the tenant has running must stay below its maximum. */
import {bounds, capacity, createConfiguration} from '../lib-2/cgw-pnw.mjs';
import {CannotRunError, runCase, waitFor} from '../lib-2/site.mjs';

const firstJob = '00000000000000a1';
const secondJob = '00000000000000b2';
const key = 'key-of-the-wholesaler';
const maximum = {cpu: 128_000, memMb: 0, gpu: 0};
const subtasks = 16;
const subtaskCpu = 8000;

const running = new Map();
let highest = 0;
let stopsTold = 0;
const countCpu = () => running.size * subtaskCpu;
await runCase(import.meta.url, {
	instances: 3, bounds, runnerBounds: {stopMilliseconds: bounds.stopMs, leaseMilliseconds: bounds.holdMaxMs},
	configuration: createConfiguration({
		services: ['wholesale'], queues: [{
			name: 'bulk-invoice', prefix: '/bulk/', service: 'wholesale', sloMs: 60_000,
		}],
		tenants: [{
			name: 'wholesaler', apiKeys: [key], weight: 1, maximum,
		}],
	}),
	runners: Array.from({length: 8}, (_, index) => ({
		id: `runner-${index}`, service: 'wholesale', capacity, rack: `r1-${Math.floor(index / 4)}`,
		createWork: () => ({
			resources: {cpuMillis: subtaskCpu, memoryMegabytes: 1000, accelerators: 0}, durationMilliseconds: 20_000, outcome: 'done',
			longRunning: false, bestEffort: false, checkpointing: false, gangSize: undefined,
		}),
		onEvent(event) {
			switch (event.type) {
				case 'started': {
					running.set(`${event.task} ${event.run}`, event.task);
					highest = Math.max(highest, countCpu());

					break;
				}

				case 'ended': {
					running.delete(`${event.task} ${event.run}`);

					break;
				}

				case 'displaced': {
					stopsTold += 1;

					break;
				}
			// No default
			}
		},
	})),
}, async ({withTrouble, record, request, findOwner, findInstance, instances}) => {
	const body = {
		spec: 'restock', steps: [{
			count: subtasks, cpu: subtaskCpu, memMb: 1000, estimateMs: 20_000,
		}],
	};
	for (const job of [firstJob, secondJob]) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		const accepted = await request('entry-1', 'POST', `/bulk/${job}`, {key, body});
		if (accepted?.status !== 200) {
			throw new CannotRunError('a job was not accepted');
		}

		// eslint-disable-next-line no-await-in-loop -- As above.
		if (!await waitFor(() => running.size === subtasks, 10_000)) {
			throw new CannotRunError('the first job does not use the maximum');
		}
	}

	const ownerName = await findOwner();
	const other = instances.find(({name}) => name !== ownerName).name;
	const cancelled = await request(other, 'DELETE', `/bulk/${firstJob}`, {key});
	if (cancelled?.status !== 200) {
		throw new CannotRunError('the cancelling was not acknowledged');
	}

	if (!await waitFor(() => stopsTold === subtasks, 3000, 5)) {
		throw new CannotRunError('the runs of the cancelled job are not being stopped');
	}

	if (withTrouble) {
		findInstance(ownerName).signal('SIGTERM');
	}

	if (!await waitFor(() => [...running.values()].filter(task => task.startsWith(secondJob)).length === subtasks, 15_000, 5)) {
		throw new CannotRunError('the second job does not start');
	}

	const bound = (maximum.cpu * (1 + bounds.quotaExcess)) + subtaskCpu;
	record(`most cpu that the tenant had running: ${highest}; bound ${bound}`);
	return highest > bound ? [`QUOTA: a start brought what the tenant has running to ${highest}, above ${bound} (maximum ${maximum.cpu} x 1.1 and one subtask of ${subtaskCpu} more)`] : [];
});
