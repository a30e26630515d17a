/** A runner crashes and is back; before its entry in the store shows the new life, the instance that schedules is stopped for a restart: its runs must not be started a second time. */
import {
	bounds, capacity, createConfiguration, noMaximum,
} from '../lib-2/cgw-pnw.mjs';
import {
	CannotRunError, runCase, sleep, waitFor,
} from '../lib-2/site.mjs';

const key = 'key-of-the-wholesaler';
const firstJob = '00000000000000a1';
const secondJob = '00000000000000b2';
const subtaskCpu = 16_000;
const runnerCount = 8;
const downMilliseconds = 300;
/** Just restarted, the runner takes 30 ms to answer a call. */
const coldAnswerMilliseconds = 30;
const workMilliseconds = 15_000;

/** Runners of the current runs, by subtask. */
const running = new Map();
const doubles = [];
await runCase(import.meta.url, {
	instances: 3, bounds, runnerBounds: {
		stopMilliseconds: bounds.stopMs, leaseMilliseconds: bounds.holdMaxMs, coldMilliseconds: 3000, coldAnswerMilliseconds,
	},
	configuration: createConfiguration({
		services: ['wholesale'], queues: [{
			name: 'bulk-invoice', prefix: '/bulk/', service: 'wholesale', sloMs: 60_000,
		}],
		tenants: [{
			name: 'wholesaler', apiKeys: [key], weight: 1, maximum: noMaximum,
		}],
	}),
	runners: Array.from({length: runnerCount}, (_, index) => ({
		id: `runner-${index}`, service: 'wholesale', capacity, rack: `r1-${index}`,
		createWork: () => ({
			resources: {cpuMillis: subtaskCpu, memoryMegabytes: 1000, accelerators: 0}, durationMilliseconds: workMilliseconds, outcome: 'done',
			longRunning: false, bestEffort: false, checkpointing: false, gangSize: undefined,
		}),
		onEvent(event, runner) {
			if (event.type === 'started') {
				const others = running.get(event.task) ?? new Map();
				running.set(event.task, others);
				if (others.size > 0) {
					doubles.push(`${event.task} run ${event.run} starts on ${runner.id} while ${[...others].map(([run, id]) => `run ${run} is on ${id}`).join(', ')}`);
				}

				others.set(event.run, runner.id);
			} else if (event.type === 'ended') {
				running.get(event.task)?.delete(event.run);
			}
		},
	})),
}, async ({withTrouble, record, request, runners, findOwner, findInstance, untilRegistration}) => {
	const submit = async (id, steps) => {
		const accepted = await request('entry-1', 'POST', `/bulk/${id}`, {key, body: {spec: 'restock', steps}});
		if (accepted?.status !== 200) {
			throw new CannotRunError('a job was not accepted');
		}
	};

	const countRuns = id => [...running].filter(([task, runs]) => task.startsWith(id) && runs.size > 0).length;
	const listRunners = id => new Set([...running].filter(([task]) => task.startsWith(id)).flatMap(([, runs]) => [...runs.values()]));
	// One subtask on each runner.
	await submit(firstJob, [{
		count: runnerCount, cpu: subtaskCpu, memMb: 1000, estimateMs: workMilliseconds, antiAffinity: 1,
	}]);
	if (!await waitFor(() => countRuns(firstJob) === runnerCount, 5000)) {
		throw new CannotRunError('the first job does not run');
	}

	const [runner] = runners;
	await sleep(untilRegistration() + 50);
	if (withTrouble) {
		await runner.crash(downMilliseconds);
		await sleep(300);
	}

	// Wants the rack of the runner, which has room.
	await submit(secondJob, [{
		count: 3, cpu: subtaskCpu, memMb: 1000, estimateMs: workMilliseconds, affinity: 'r1-0',
	}]);
	if (!await waitFor(() => countRuns(secondJob) === 3, 2000, 5)) {
		throw new CannotRunError('the second job does not run');
	}

	record(`the second job runs on ${[...listRunners(secondJob)].join(' ')}; ${Math.round(untilRegistration())} ms until the runners write to the store again`);
	await sleep(100);
	if (withTrouble) {
		findInstance(await findOwner()).signal('SIGTERM');
	}

	await sleep(5000);
	return doubles.map(text => `TWICE: ${text}`);
});
