/** The last instance that is left takes over while the store is slow, and the store falls silent meanwhile. After that the accepted jobs must go on. */
import process from 'node:process';
import {
	bounds, capacity, createConfiguration, noMaximum,
} from '../lib-2/cgw-pnw.mjs';
import {
	CannotRunError, runCase, sleep, waitFor,
} from '../lib-2/site.mjs';
import {startSlowStore} from '../lib-2/slow-store.mjs';

const key = 'key-of-the-curer';
const earlierJob = '00000000000000a1';
const laterJob = '00000000000000b2';
const subtaskCpu = 8000;
const workMilliseconds = 2000;
const storeMilliseconds = 4;
const slowFactor = 60;
/** The store is slow, and silent, for less than 4.5 s each. */
const longestSlowMilliseconds = 4400;
const longestSilentMilliseconds = 4400;
const silentAfterMilliseconds = 700;
const shortestSilentMilliseconds = 3000;
/** The store answers again this long after it was asked for a page of records, which it has left unanswered. */
const resumeAfterMilliseconds = 30;
const calmMilliseconds = 6000;
/** The store fails again, at most this often, if the instance has come through. */
const mostFailures = 4;
/** The span of the rule. */
const stillMilliseconds = 3000;
/** Parts of the disruption, to tell what each does: lost, slow, silent. */
const parts = new Set((process.env.PARTS ?? 'lost slow silent').split(' '));

const started = new Map();
let storeDelay = storeMilliseconds;
let pageAskedAt = 0;
await runCase(import.meta.url, {
	instances: 3, bounds, runnerBounds: {stopMilliseconds: bounds.stopMs, leaseMilliseconds: bounds.holdMaxMs},
	wrapStore: async address => startSlowStore(address, () => storeDelay, target => {
		if (/^\/-\/kv-range\?prefix=(?:turmericbay|servers)/v.test(target)) {
			pageAskedAt = performance.now();
		}
	}),
	configuration: createConfiguration({
		services: ['curing'], queues: [{
			name: 'carve-render', prefix: '/carve/', service: 'curing',
		}],
		tenants: [{
			name: 'curer', apiKeys: [key], weight: 1, maximum: noMaximum,
		}],
	}),
	runners: Array.from({length: 8}, (_, index) => ({
		id: `runner-${index}`, service: 'curing', capacity, rack: `r1-${index}`,
		createWork: () => ({
			resources: {cpuMillis: subtaskCpu, memoryMegabytes: 1000, accelerators: 0}, durationMilliseconds: workMilliseconds, outcome: 'done',
			longRunning: false, bestEffort: false, checkpointing: false, gangSize: undefined,
		}),
		onEvent(event) {
			if (event.type === 'started') {
				started.set(event.task, performance.now());
			}
		},
	})),
}, async ({withTrouble, record, request, instances, findOwner, findInstance}) => {
	const hasPart = name => withTrouble && parts.has(name);
	const listStarts = id => [...started].filter(([task]) => task.startsWith(id)).map(([, at]) => at);
	/** Two steps, so that the second one is due long after the first. */
	const submit = async (instance, id, stepCount) => {
		const accepted = await request(instance, 'POST', `/carve/${id}`, {
			key, body: {
				spec: 'a carving', steps: Array.from({length: stepCount}, (_, index) => ({
					count: 2, cpu: subtaskCpu, memMb: 1000, estimateMs: workMilliseconds, ...(index > 0 && {after: [index - 1]}),
				})),
			},
		});
		if (accepted?.status !== 200) {
			throw new CannotRunError(`${id} was not accepted`);
		}
	};

	const owner = await findOwner();
	const [survivor, third] = instances.filter(({name}) => name !== owner).map(({name}) => name);
	await submit(survivor, earlierJob, 12);
	if (!await waitFor(() => listStarts(earlierJob).length > 0, 3000)) {
		throw new CannotRunError('the first job does not run');
	}

	await sleep(1000);
	if (hasPart('lost')) {
		for (const name of [owner, third]) {
			findInstance(name).signal('SIGKILL');
		}
	}

	/** The instance takes over while the store is slow, and the store falls silent before it has read all records. */
	const failStore = async () => {
		storeDelay = storeMilliseconds * (hasPart('slow') ? slowFactor : 1);
		record(`the store takes ${storeDelay} ms for an answer`);

		if (!await waitFor(async () => !hasPart('lost') || await findOwner() === survivor, longestSlowMilliseconds - silentAfterMilliseconds, 5)) {
			throw new CannotRunError(`${survivor} has not taken over in time`);
		}

		await sleep(silentAfterMilliseconds);
		if (hasPart('silent')) {
			storeDelay = undefined;
			record('the store is silent');
			await sleep(shortestSilentMilliseconds);
			await waitFor(() => {
				const sincePage = performance.now() - pageAskedAt;
				return sincePage > resumeAfterMilliseconds && sincePage < resumeAfterMilliseconds * 2;
			}, longestSilentMilliseconds - shortestSilentMilliseconds, 5);
		}

		storeDelay = storeMilliseconds;
		record(`the store takes ${storeDelay} ms for an answer`);
		await sleep(calmMilliseconds);
		const name = await findOwner();
		record(`instance that schedules: ${name ?? 'none'}`);
		return name === undefined;
	};

	for (let failure = 1; failure <= (withTrouble ? mostFailures : 0); failure += 1) {
		// eslint-disable-next-line no-await-in-loop -- One failure after the other.
		if (await failStore() || !hasPart('silent') || failure === mostFailures) {
			break;
		}

		storeDelay = undefined;
		record('the store is silent');
		// eslint-disable-next-line no-await-in-loop -- As above.
		await sleep(shortestSilentMilliseconds);
	}

	await submit(survivor, laterJob, 1);
	const endedAt = performance.now();
	await sleep((bounds.finish_s * 1000) + stillMilliseconds);
	const states = [];
	for (const id of [earlierJob, laterJob]) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		const response = await request(survivor, 'GET', `/carve/${id}`, {key});
		states.push(response?.body.state);
	}

	record(`instance that schedules: ${await findOwner() ?? 'none'}; subtasks started of the first job: ${listStarts(earlierJob).length}, of the second: ${listStarts(laterJob).length}; states: ${states.join(', ')}`);
	const still = performance.now() - Math.max(...listStarts(earlierJob)) - workMilliseconds;
	const end = `${bounds.finish_s} s after the end of the traffic`;
	return [
		...(listStarts(laterJob).length === 0 ? [`LOST: ${end} the job that was accepted last has had nothing running for ${Math.round((performance.now() - endedAt) / 1000)} s, with all runners idle`] : []),
		...(states[0] !== 'completed' && still > stillMilliseconds ? [`LOST: ${end} the job that was accepted first has had nothing running for ${Math.round(still / 1000)} s, with all runners idle`] : []),
	];
});
