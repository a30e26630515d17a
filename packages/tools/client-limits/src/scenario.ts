/** Sends a crowd to an instance and reports what callers and the machine would have seen. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Crowd, Target} from './crowds.js';
import type {ClientSite, Instance, Limits} from './instance.js';
import {Port, startInstance} from './instance.js';
import type {OrdinaryRequest} from './ordinary-request.js';
import {sendUntil} from './ordinary-request.js';

export type CrowdContext = {readonly site: ClientSite; readonly target: Target; readonly jobPath: string};

export type Scenario = {
	readonly limits: Limits;
	/** Port that the crowd calls. */
	readonly port: Port;
	/** Stops the process while the crowd sends, so that the result does not depend on which of the two is faster. */
	readonly isPausedWhileSending?: boolean;
	readonly createCrowd: (context: CrowdContext) => Crowd;
};

export type ScenarioReport = {
	/** Empty if the instance kept within its limits and answered. */
	readonly violations: readonly string[];
	readonly measured: string;
	/** End of the log of an instance that ended by itself. */
	readonly log: string;
};

type Answer = {readonly port: Port; readonly status: number | undefined; readonly isAnswered: boolean};

/** Descriptors that the platform keeps for files; sockets and pipes share the others. */
const descriptorsForFiles = 200;
const okStatus = 200;
const refusals = new Set([429, 503]);
const jobId = '0123456789abcdef';
const logLines = 12;
const acceptPollMilliseconds = 20;
/** An instance may refuse some of the connections. */
const acceptTimeoutMilliseconds = 5000;

const createOrdinaryRequest = (site: ClientSite, port: Port): OrdinaryRequest => {
	switch (port) {
		case Port.Callers: {
			return {method: 'GET', path: `${site.jobPrefix}${jobId}`, headers: {host: site.host, authorization: `Bearer ${site.apiKey}`}};
		}

		case Port.Readiness: {
			return {method: 'GET', path: site.readinessPath, headers: {}};
		}

		case Port.Peers: {
			return {method: 'GET', path: site.metricsPath, headers: {}};
		}
	}
};

const submitJob = async (instance: Instance): Promise<void> => {
	const {site, hasEnded} = instance;
	const status = await sendUntil({
		target: {host: site.address, port: site.ports[Port.Callers]}, hasEnded, isAccepted: code => code === okStatus,
		request: {...createOrdinaryRequest(site, Port.Callers), method: 'POST', body: site.jobBody},
	});
	if (status !== okStatus) {
		throw new Error(`the instance accepted no job before the crowd came, the last status was ${status}:\n${await instance.readLog()}`);
	}
};

/** A process that accepts a connection only after the others have sent reads them one after the other. */
const waitUntilAccepted = async (instance: Instance, sockets: number): Promise<void> => {
	const deadline = performance.now() + acceptTimeoutMilliseconds;
	while (instance.countSockets() < sockets && !instance.hasEnded() && performance.now() < deadline) {
		await sleep(acceptPollMilliseconds); // eslint-disable-line no-await-in-loop -- Polls until the connections are accepted.
	}
};

/** Sends one ordinary request to the callers' port and one to the crowd's. */
const askAll = async (instance: Instance, port: Port, isAccepted: (status: number) => boolean): Promise<readonly Answer[]> =>
	Promise.all([...new Set([Port.Callers, port])].map(async name => {
		const status = await sendUntil({
			target: {host: instance.site.address, port: instance.site.ports[name]}, hasEnded: instance.hasEnded, isAccepted, request: createOrdinaryRequest(instance.site, name),
		});
		return {port: name, status, isAnswered: status !== undefined && isAccepted(status)};
	}));

export const runScenario = async ({limits, port, isPausedWhileSending = false, createCrowd}: Scenario): Promise<ScenarioReport> => {
	const instance = await startInstance(limits);
	let crowd: Crowd | undefined;
	try {
		const {site, hasEnded, measure, getExit} = instance;
		await submitJob(instance);
		const atRest = measure();
		crowd = createCrowd({site, target: {host: site.address, port: site.ports[port]}, jobPath: `${site.jobPrefix}${jobId}`});
		const socketsAtRest = instance.countSockets();
		await crowd.open(hasEnded);
		if (isPausedWhileSending) {
			await waitUntilAccepted(instance, socketsAtRest + crowd.connections);
			instance.pause();
		}

		await crowd.send(hasEnded);
		instance.resume();
		measure();
		const duringCrowd = await askAll(instance, port, status => status === okStatus || refusals.has(status));
		measure();
		crowd.close();
		const afterCrowd = await askAll(instance, port, status => status === okStatus);
		const peak = measure();
		const log = await instance.readLog();

		const exit = getExit();
		const maximumKilobytes = limits.memoryMegabytes * 1_000_000 / 1024;
		const maximumSockets = limits.descriptors - descriptorsForFiles;
		return {
			violations: [
				...(exit === undefined ? [] : [`the process ended: ${exit}`]),
				...(peak.peakResidentKilobytes > maximumKilobytes ? ['the memory of the process exceeded the limit'] : []),
				...(peak.sockets > maximumSockets || peak.descriptors > limits.descriptors ? ['the open descriptors exceeded the limit'] : []),
				...duringCrowd.filter(({isAnswered}) => !isAnswered).map(answer => `beside the crowd an ordinary request on the ${answer.port} port had no answer`),
				...afterCrowd.filter(({isAnswered}) => !isAnswered).map(answer => `after the crowd an ordinary request on the ${answer.port} port was not served`),
			],
			measured: [
				`VmHWM ${peak.peakResidentKilobytes} kB (${atRest.peakResidentKilobytes} kB before the crowd, limit ${Math.floor(maximumKilobytes)} kB)`,
				`descriptors ${peak.descriptors}, of which sockets and pipes ${peak.sockets} (limit ${maximumSockets})`,
				`exit ${exit ?? 'none'}`,
				`crowd sent ${crowd.sentBytes()} bytes`,
				`answers beside the crowd ${duringCrowd.map(answer => `${answer.port} ${answer.status}`).join(', ')}`,
				`and after it ${afterCrowd.map(answer => `${answer.port} ${answer.status}`).join(', ')}`,
			].join('; '),
			log: exit === undefined ? '' : log.trimEnd().split('\n').slice(-logLines).join('\n'),
		};
	} finally {
		crowd?.close();
		await instance.close();
	}
};
