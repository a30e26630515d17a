/** Periodic tasks of an entry instance. */
import {setTimeout as sleep} from 'node:timers/promises';
import {LogEvent} from '@turmericbay/telemetry';
import type {Logger} from '@turmericbay/telemetry';
import {listPeerLoads} from './entry-instance.js';
import type {EntryInstanceComponents} from './entry-instance.js';
import {exchangeIntervalMilliseconds} from './peer-exchange.js';
import {createStateLog} from './state-log.js';

type PeriodicTask = {
	readonly name: string;
	readonly intervalMilliseconds: number;
	run(): void | Promise<void>;
};

const listPeriodicTasks = (components: EntryInstanceComponents, logger: Logger): readonly PeriodicTask[] => [
	{
		name: 'grants',
		intervalMilliseconds: 50,
		run() {
			components.grants.tick();
		},
	},
	{
		name: 'claims',
		intervalMilliseconds: 20,
		run() {
			components.claims.tick();
		},
	},
	{
		name: 'session',
		intervalMilliseconds: 500,
		run() {
			components.session.tick();
		},
	},
	{
		name: 'exchange',
		intervalMilliseconds: exchangeIntervalMilliseconds,
		async run() {
			components.gateway.setPeerLoads(listPeerLoads(components.exchange));
			await components.exchange.exchange();
		},
	},
	{name: 'document', intervalMilliseconds: 500, run: async () => components.documentWatch.tick()},
	{name: 'fleet', intervalMilliseconds: 1000, run: async () => components.fleet.tick()},
	{name: 'state-log', intervalMilliseconds: 1000, run: createStateLog({components, logger})},
	{name: 'instance-list', intervalMilliseconds: 1000, run: async () => components.listSource.tick()},
];

export type RunningTasks = {
	stop(): void;
};

/** Starts one timer per task. A task that is still running is not started again. */
export const startPeriodicTasks = ({components, logger}: {readonly components: EntryInstanceComponents; readonly logger: Logger}): RunningTasks => {
	const timers = listPeriodicTasks(components, logger).map(({name, intervalMilliseconds, run}) => {
		let isRunning = false;
		const runOnce = async () => {
			if (isRunning) {
				return;
			}

			isRunning = true;
			try {
				await run();
			} catch (error) {
				logger.log(LogEvent.InternalError, {system: name, detail: error instanceof Error ? error.stack ?? error.message : String(error)});
			}

			isRunning = false;
		};

		void runOnce();
		return setInterval(() => {
			void runOnce();
		}, intervalMilliseconds);
	});
	return {
		stop() {
			for (const timer of timers) {
				clearInterval(timer);
			}
		},
	};
};

/** Polls a condition; resolves to false if it does not hold before the timeout. */
export const waitUntil = async (options: {readonly condition: () => boolean; readonly timeoutMilliseconds: number}): Promise<boolean> => {
	const pollMilliseconds = 50;
	for (let waited = 0; waited < options.timeoutMilliseconds; waited += pollMilliseconds) {
		if (options.condition()) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop -- Polls one condition.
		await sleep(pollMilliseconds);
	}

	return options.condition();
};
