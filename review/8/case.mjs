/** One order on pace gets no response and is carried out late, after newer ones: the subtask that fills must not go on harming the one that serves. */
import {
	bounds, capacity, createConfiguration, noMaximum,
} from '../lib-2/cgw-pnw.mjs';
import {
	CannotRunError, runCase, sleep, waitFor,
} from '../lib-2/site.mjs';

const service = '00000000000000c3';
const filler = '00000000000000d4';
const key = 'key-of-the-storefront';
const targetMilliseconds = 100;
/** The tail of the serving subtask: below its target without the subtask that fills beside it. */
const ownTail = 88;
const tailPerPercent = 0.6;
const lateMilliseconds = 6000;
const watchMilliseconds = 25_000;

let lateOrders = 0;
let lateAt;
let withLateOrder = false;
const readTail = runner => {
	let tail = ownTail;
	for (const [task, percent] of runner.paces) {
		tail += task.startsWith(filler) ? percent * tailPerPercent : 0;
	}

	return tail;
};

await runCase(import.meta.url, {
	instances: 3, bounds, runnerBounds: {
		stopMilliseconds: bounds.stopMs, leaseMilliseconds: bounds.holdMaxMs, paceMilliseconds: bounds.paceMs,
		measure: runner => new Map([[`${service}.0.0.0`, Math.round(readTail(runner))], [`${filler}.0.0.0`, 4000]]),
		interceptPace() {
			if (!withLateOrder || lateOrders > 0) {
				return undefined;
			}

			lateOrders += 1;
			lateAt = performance.now() + lateMilliseconds;
			return lateMilliseconds;
		},
	},
	configuration: createConfiguration({
		services: ['storefront'], queues: [{
			name: 'order-ledger', prefix: '/ledger/', service: 'storefront', sloMs: 2500, maxAttempts: 2,
		}],
		tenants: [{
			name: 'storefront', apiKeys: [key], weight: 1, maximum: noMaximum,
		}],
	}),
	// One runner, so that both subtasks share it.
	runners: [{
		id: 'runner-0', service: 'storefront', capacity, rack: 'r1-0',
		createWork: task => ({
			resources: {cpuMillis: task.startsWith(filler) ? 4000 : 8000, memoryMegabytes: 1000, accelerators: 0}, durationMilliseconds: 0, outcome: 'done',
			longRunning: true, bestEffort: task.startsWith(filler), checkpointing: false, gangSize: undefined,
		}),
	}],
}, async ({withTrouble, record, runners, request}) => {
	withLateOrder = withTrouble;
	const [runner] = runners;
	const step = {
		count: 1, memMb: 1000, estimateMs: 1000, longRunning: true,
	};
	const submit = async (job, steps) => {
		const accepted = await request('entry-1', 'POST', `/ledger/${job}`, {key, body: {spec: 'ledger', steps}});
		if (accepted?.status !== 200) {
			throw new CannotRunError('a job was not accepted');
		}
	};

	await submit(service, [{
		...step, cpu: 8000, image: 'ledger', targetMs: targetMilliseconds,
	}]);
	await waitFor(() => runner.paces.size === 1, 5000);
	await sleep(1500);
	await submit(filler, [{
		...step, cpu: 4000, image: 'index', fills: true,
	}]);
	if (!await waitFor(() => runner.paces.size === 2, 5000)) {
		throw new CannotRunError('the two subtasks do not run');
	}

	/** Harm counts where no disturbance is near: not until `contactMs` after the late order was carried out. */
	const startedAt = performance.now();
	let harmSince;
	let longest = 0;
	while (performance.now() - startedAt < watchMilliseconds) {
		const now = performance.now();
		const isCalm = !withTrouble || (lateAt !== undefined && now > lateAt + bounds.contactMs);
		const isHarmed = isCalm && readTail(runner) > targetMilliseconds;
		harmSince = isHarmed ? harmSince ?? now : undefined;
		longest = Math.max(longest, isHarmed ? now - harmSince : 0);
		// eslint-disable-next-line no-await-in-loop -- Samples.
		await sleep(50);
	}

	if (withTrouble && lateOrders === 0) {
		throw new CannotRunError('there was no order on pace');
	}

	record(`paces ${JSON.stringify([...runner.paces])}; tail ${readTail(runner)} ms, ${ownTail} ms without the subtask that fills, target ${targetMilliseconds} ms; longest harm on end in calm ${Math.round(longest)} ms`);
	return longest > bounds.harmMs ? [`HARM: a subtask is over its target of ${targetMilliseconds} ms for ${Math.round(longest)} ms on end, with ${ownTail} ms without the subtask that fills beside it, which works on`] : [];
});
