/**
 * A runner crashes and is back while the store is slow, and is cut off later: the subtasks that it got after its restart must not be
 * started elsewhere while it runs them.
 */
import process from 'node:process';
import {createConfiguration, noMaximum} from '../lib-2/cgw-pnw.mjs';
import {
	CannotRunError, runCase, sleep, waitFor,
} from '../lib-2/site.mjs';
import {startSlowStore} from '../lib-2/slow-store.mjs';
import {bounds, capacity} from '../lib-2/wr-sued.mjs';

const key = 'key-of-the-yard';
const firstJob = '00000000000000a1';
const secondJob = '00000000000000b2';
/** Keeps the other runner of the rack full until the cut. */
const blockingJob = '00000000000000c3';
const rack = 'r1-0';
const otherKind = 'b';
const secondCount = 3;
const runnerCount = 8;
const subtaskCpu = 4000;
const shortMilliseconds = 1000;
const longMilliseconds = 30_000;
const storeMilliseconds = 4;
const slowFactor = 60;
const slowMilliseconds = 4500;
const endAfterRegistrationMilliseconds = 250;
const crashAfterMilliseconds = 30;
const downMilliseconds = 100;
const cutMilliseconds = 5500;
const uptimeMilliseconds = 3_600_000;
/** Parts of the disruption, to tell what each does: slow, crash, cut. */
const parts = new Set((process.env.PARTS ?? 'slow crash cut').split(' '));

/** Runners of the current runs, by subtask. */
const running = new Map();
const doubles = [];
let firstEnded = false;
let chooseDuration = () => shortMilliseconds;
let isSlow = false;
await runCase(import.meta.url, {
	instances: 3, bounds, runnerBounds: {
		stopMilliseconds: bounds.stopMs, leaseMilliseconds: bounds.holdMaxMs, uptimeMilliseconds, hasLink: true,
	},
	wrapStore: async address => startSlowStore(address, () => isSlow ? storeMilliseconds * slowFactor : storeMilliseconds),
	configuration: createConfiguration({
		services: ['abholung'], queues: [{
			name: 'pickup-quote', prefix: '/pickup/', service: 'abholung',
		}],
		tenants: [{
			name: 'yard', apiKeys: [key], weight: 1, maximum: noMaximum,
		}],
	}),
	runners: Array.from({length: runnerCount}, (_, index) => ({
		id: `runner-${index}`, service: 'abholung', capacity, rack: index < 2 ? rack : 'r1-1', kind: index === 1 ? otherKind : 'a',
		createWork: task => ({
			resources: {cpuMillis: subtaskCpu, memoryMegabytes: 1000, accelerators: 0}, durationMilliseconds: task.startsWith(firstJob) ? chooseDuration() : longMilliseconds, outcome: 'done',
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
				firstEnded ||= event.task.startsWith(firstJob);
			}
		},
	})),
}, async ({withTrouble, record, request, runners, untilRegistration}) => {
	const hasPart = name => withTrouble && parts.has(name);
	const submit = async (id, count, estimateMs, requirements = rack) => {
		const accepted = await request('entry-1', 'POST', `/pickup/${id}`, {
			key, body: {
				spec: 'a pickup', steps: [{
					count, cpu: subtaskCpu, memMb: 1000, estimateMs, requirements,
				}],
			},
		});
		if (accepted?.status !== 200) {
			throw new CannotRunError('a job was not accepted');
		}
	};

	const [runner] = runners;
	const listRunners = id => [...running].filter(([task]) => task.startsWith(id)).flatMap(([, runs]) => [...runs.values()]);
	await submit(blockingJob, capacity.cpu / subtaskCpu, longMilliseconds, otherKind);
	if (!await waitFor(() => listRunners(blockingJob).length === capacity.cpu / subtaskCpu, 5000)) {
		throw new CannotRunError('the other runner of the rack is not full');
	}

	// The first job ends, and the runner crashes, shortly after the runners have written to the store; the entry of its next life comes a second later.
	chooseDuration = () => untilRegistration() + endAfterRegistrationMilliseconds;
	if (hasPart('slow')) {
		isSlow = true;
		record(`the store takes ${storeMilliseconds * slowFactor} ms for an answer`);
		setTimeout(() => {
			isSlow = false;
			record(`the store takes ${storeMilliseconds} ms for an answer`);
		}, slowMilliseconds);
	}

	await submit(firstJob, 1, shortMilliseconds);
	if (!await waitFor(() => firstEnded, 5000, 5)) {
		throw new CannotRunError('the first job does not run');
	}

	await sleep(crashAfterMilliseconds);
	if (hasPart('crash')) {
		await runner.crash(downMilliseconds);
		record(`${Math.round(untilRegistration())} ms until the runners write to the store again`);
	}

	// The runner has answered calls with its new `born` by now.
	await sleep(2500);
	await submit(secondJob, secondCount, longMilliseconds);
	if (!await waitFor(() => listRunners(secondJob).length === secondCount, 3000, 5)) {
		throw new CannotRunError('the second job does not run');
	}

	record(`the second job runs on ${listRunners(secondJob).join(' ')}`);
	await sleep(300);
	if (hasPart('cut')) {
		record(`${runner.id} is cut off`);
		runner.link.cut();
	}

	await request('entry-2', 'DELETE', `/pickup/${blockingJob}`, {key});
	await sleep(cutMilliseconds);
	if (hasPart('cut')) {
		record(`${runner.id} is in touch again`);
		runner.link.restore();
	}

	await sleep(4000);
	return doubles.filter(text => text.startsWith(secondJob)).map(text => `TWICE: ${text}`);
});
