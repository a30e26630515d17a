/** Consumers of two tenants, each at a queue and a service of its own, choose the same ID: each must have its own job. */
import {
	bounds, capacity, createConfiguration, noMaximum,
} from '../lib-2/cgw-pnw.mjs';
import {
	CannotRunError, runCase, sleep, waitFor,
} from '../lib-2/site.mjs';

const ownId = '0000000000000001';
const otherId = '0000000000000002';
const makerKey = 'key-of-the-maker';
const tearoomKey = 'key-of-the-tea-room';
const waitMilliseconds = 10_000;

const started = {orders: new Set(), wholesale: new Set()};
await runCase(import.meta.url, {
	instances: 3, bounds, runnerBounds: {stopMilliseconds: bounds.stopMs, leaseMilliseconds: bounds.holdMaxMs},
	configuration: createConfiguration({
		services: ['orders', 'wholesale'], queues: [{name: 'quote-price', prefix: '/quote/', service: 'orders'}, {name: 'bulk-invoice', prefix: '/bulk/', service: 'wholesale'}],
		tenants: [
			{
				name: 'maker', apiKeys: [makerKey], weight: 1, maximum: noMaximum,
			},
			{
				name: 'tea-room', apiKeys: [tearoomKey], weight: 1, maximum: noMaximum,
			},
		],
	}),
	runners: ['orders', 'wholesale'].flatMap(service => Array.from({length: 4}, (_, index) => ({
		id: `${service}-${index}`, service, capacity, rack: `r1-${service}`,
		createWork: () => ({
			resources: {cpuMillis: 8000, memoryMegabytes: 1000, accelerators: 0}, durationMilliseconds: 20_000, outcome: 'done',
			longRunning: false, bestEffort: false, checkpointing: false, gangSize: undefined,
		}),
		onEvent(event) {
			if (event.type === 'started') {
				started[service].add(event.task);
			}
		},
	}))),
}, async ({withTrouble, request, record}) => {
	const body = {
		spec: 'gourds', steps: [{
			count: 2, cpu: 8000, memMb: 1000, estimateMs: 20_000,
		}],
	};
	const maker = `/quote/${ownId}`;
	const tearoom = `/bulk/${withTrouble ? ownId : otherId}`;
	for (const [target, key] of [[maker, makerKey], [tearoom, tearoomKey]]) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		const accepted = await request('entry-1', 'POST', target, {key, body});
		if (accepted?.status !== 200) {
			throw new CannotRunError(`${target} was not accepted`);
		}

		// eslint-disable-next-line no-await-in-loop -- One after the other.
		await sleep(1000);
	}

	await waitFor(() => started.wholesale.size > 0, waitMilliseconds);
	const shown = await request('entry-2', 'GET', tearoom, {key: tearoomKey});
	// The tea room takes its own job back; the maker's stays.
	await request('entry-2', 'DELETE', tearoom, {key: tearoomKey});
	await sleep(bounds.cancel_ms + bounds.stopMs);
	const makerState = await request('entry-3', 'GET', maker, {key: makerKey});
	record(`subtasks started for ${maker}: ${started.orders.size}, for ${tearoom}: ${started.wholesale.size}`);
	return [
		...(started.wholesale.size === 0 ? [`LOST: ${tearoom} was accepted and had nothing running for ${waitMilliseconds / 1000} s, with all runners of its service idle`] : []),
		...(started.wholesale.size === 0 && shown?.body.state === 'running' ? [`MIXED: ${tearoom} is shown as running, which is the state of the other tenant's job`] : []),
		...(makerState?.body.state === 'cancelled' ? [`LOST: ${maker} is shown as cancelled, and no caller of its tenant has cancelled it`] : []),
	];
});
