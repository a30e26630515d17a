/** The systems of an entry instance and the intervals at which the loop runs them. */
import {setTimeout as sleep} from 'node:timers/promises';
import {LogEvent} from '@turmericbay/telemetry';
import type {Logger} from '@turmericbay/telemetry';
import {listPeerLoads} from './entry-instance.js';
import type {EntryInstanceParts} from './entry-instance.js';
import {exchangeIntervalMilliseconds} from './peer-exchange.js';
import {createStateLog} from './state-log.js';

type System = {
	readonly name: string;
	readonly intervalMilliseconds: number;
	run(): void | Promise<void>;
};

const listSystems = (parts: EntryInstanceParts, logger: Logger): readonly System[] => [
	{
		name: 'grants',
		intervalMilliseconds: 50,
		run() {
			parts.grants.tick();
		},
	},
	{
		name: 'claims',
		intervalMilliseconds: 20,
		run() {
			parts.claims.tick();
		},
	},
	{
		name: 'session',
		intervalMilliseconds: 500,
		run() {
			parts.session.tick();
		},
	},
	{
		name: 'exchange',
		intervalMilliseconds: exchangeIntervalMilliseconds,
		async run() {
			parts.gateway.setPeerLoads(listPeerLoads(parts.exchange));
			await parts.exchange.exchange();
		},
	},
	{name: 'document', intervalMilliseconds: 500, run: async () => parts.documentWatch.tick()},
	{name: 'fleet', intervalMilliseconds: 1000, run: async () => parts.fleet.tick()},
	{name: 'state-log', intervalMilliseconds: 1000, run: createStateLog({parts, logger})},
	{name: 'instance-list', intervalMilliseconds: 1000, run: async () => parts.listSource.tick()},
];

export type RunningSystems = {
	stop(): void;
};

/** Starts one timer per system. A system that is still running is not started again. */
export const runSystems = ({parts, logger}: {readonly parts: EntryInstanceParts; readonly logger: Logger}): RunningSystems => {
	const timers = listSystems(parts, logger).map(({name, intervalMilliseconds, run}) => {
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

/** Waits until the condition holds or the time is over. */
export const waitUntil = async (options: {readonly condition: () => boolean; readonly boundMilliseconds: number}): Promise<boolean> => {
	const pollMilliseconds = 50;
	for (let waited = 0; waited < options.boundMilliseconds; waited += pollMilliseconds) {
		if (options.condition()) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop -- Polls one condition.
		await sleep(pollMilliseconds);
	}

	return options.condition();
};
