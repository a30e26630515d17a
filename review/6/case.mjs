/** Three runners crash, one at a time, under a job that could be done: it must not be shown as failed. */
import {
	bounds, capacity, createConfiguration, noMaximum,
} from '../lib-2/cgw-pnw.mjs';
import {
	CannotRunError, runCase, sleep, waitFor,
} from '../lib-2/site.mjs';

const job = 'a1b2c3d4e5f60718';
const target = `/carve/${job}`;
const key = 'key-of-the-carver';
const workMilliseconds = 5000;
/** One runner of eight at a time, as one trouble of the site (share 0.14). */
const runnerCount = 8;
const crashes = 3;
const downMilliseconds = 2000;

let current;
let failedEnds = 0;
await runCase(import.meta.url, {
	instances: 3, bounds, runnerBounds: {stopMilliseconds: bounds.stopMs, leaseMilliseconds: bounds.holdMaxMs},
	configuration: createConfiguration({
		services: ['curing'], queues: [{
			name: 'carve-render', prefix: '/carve/', service: 'curing', maxAttempts: 3, priority: 1,
		}],
		tenants: [{
			name: 'carver', apiKeys: [key], weight: 1, maximum: noMaximum,
		}],
	}),
	runners: Array.from({length: runnerCount}, (_, index) => ({
		id: `runner-${index}`, service: 'curing', capacity, rack: `r1-${Math.floor(index / 4)}`,
		createWork: () => ({
			resources: {cpuMillis: 18_000, memoryMegabytes: 2000, accelerators: 0}, durationMilliseconds: workMilliseconds, outcome: 'done',
			longRunning: false, bestEffort: false, checkpointing: false, gangSize: undefined,
		}),
		onEvent(event, runner) {
			if (event.type === 'started') {
				current = {runner, run: event.run};
			} else if (event.type === 'ended') {
				failedEnds += event.reason === 'failed' ? 1 : 0;
				current = undefined;
			}
		},
	})),
}, async ({withTrouble, record, request}) => {
	const accepted = await request('entry-1', 'POST', target, {
		key, body: {
			spec: 'a gourd', steps: [{
				count: 1, cpu: 18_000, memMb: 2000, estimateMs: 5000,
			}],
		},
	});
	if (accepted?.status !== 200) {
		throw new CannotRunError('the job was not accepted');
	}

	if (withTrouble) {
		for (let crash = 1; crash <= crashes; crash += 1) {
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			const started = await waitFor(() => current, 20_000);
			if (!started) {
				throw new CannotRunError(`the subtask did not start before crash ${crash}`);
			}

			// eslint-disable-next-line no-await-in-loop -- As above.
			await sleep(1500);
			record(`crash ${crash} of ${crashes}: ${started.runner.id}`);
			// eslint-disable-next-line no-await-in-loop -- As above.
			await started.runner.crash(downMilliseconds);
		}
	}

	const state = await waitFor(async () => {
		const response = await request('entry-2', 'GET', target, {key});
		return response?.status === 200 && ['completed', 'failed', 'cancelled'].includes(response.body.state) ? response.body.state : undefined;
	}, 45_000, 1000);
	record(`state ${state}; ends of the subtask listed as failed: ${failedEnds}`);
	return state === 'failed' && failedEnds < 3 ? [`LOST: the job is shown as failed; ${failedEnds} of its subtask's runs ended failed (maxAttempts 3)`] : [];
});
