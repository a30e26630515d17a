/** Starts a small fleet: platform, upstreams, entry instances and the first configuration document. */
import {randomUUID} from 'node:crypto';
import type {OperatorServiceClient} from '@turmericbay/peer-protocol';
import {createOperatorClient, operatorMessages} from '@turmericbay/peer-protocol';
import type {AvailabilityZone, PoolName} from '@turmericbay/types';
import {InstanceState} from '@turmericbay/types';
import type {EntryEndpoints, SettingOverrides} from './entry-settings.js';
import {operatorToken} from './entry-settings.js';
import type {
	EntryProcess, Launcher, PlatformProcess, UpstreamProcess,
} from './launcher.js';
import {createZoneLinks} from './zone-links.js';

export type FleetPlan = {
	readonly zones: readonly AvailabilityZone[];
	readonly entriesPerZone: number;
	/** Number of upstreams of each pool in each zone. */
	readonly upstreamsPerZone: Readonly<Record<PoolName, number>>;
	readonly runMilliseconds?: number;
	readonly listLagMilliseconds?: number;
	/** First configuration document. */
	readonly document: unknown;
	/** Replaces the call to the operator service that submits the first document. */
	readonly submitFirst?: (entry: EntryProcess) => Promise<void>;
	readonly overrides?: SettingOverrides;
};

export type Fleet = {
	readonly platform: PlatformProcess;
	readonly upstreams: readonly UpstreamProcess[];
	readonly entries: readonly EntryProcess[];
	createOperatorClient(entry: EntryProcess): OperatorServiceClient;
	/** Submits a document to an entry instance and returns its version; throws unless it is accepted. */
	submit(document: unknown, options: {readonly at: EntryProcess; readonly reviewedVersion: number}): Promise<number>;
	/** Starts the entry instance again with the same ports and settings, as a new incarnation. */
	restartEntry(entry: EntryProcess): Promise<EntryProcess>;
	markLeaving(process: UpstreamProcess): Promise<void>;
	/** Blocks or restores the network between a zone's entry instances and both the platform and the entry instances of other zones. */
	setZoneIsolated(zone: AvailabilityZone, isIsolated: boolean): Promise<void>;
};

const portsPerEntry = 3;
const operatorTimeoutMilliseconds = 10_000;

const allocateEndpoints = async (launcher: Launcher, plan: FleetPlan): Promise<EntryEndpoints[]> => {
	const names = plan.zones.flatMap(zone => Array.from({length: plan.entriesPerZone}, (_, index) => ({zone, instance: `entry-${zone}-${index + 1}`})));
	const ports = await launcher.findFreePorts(names.length * portsPerEntry);
	return names.map((name, index) => {
		const [callers = 0, operations = 0, peers = 0] = ports.slice(index * portsPerEntry);
		return {...name, host: launcher.entryHost, ports: {callers, operations, peers}};
	});
};

const startUpstreams = async (launcher: Launcher, plan: FleetPlan): Promise<UpstreamProcess[]> => Promise.all(plan.zones.flatMap(zone =>
	Object.entries(plan.upstreamsPerZone).flatMap(([pool, count]) =>
		Array.from({length: count}, async (_, index) => launcher.startUpstream({
			instance: `${pool}-${zone}-${index + 1}`, pool, zone, runMilliseconds: plan.runMilliseconds,
		})))));

export const createFleetOperatorClient = (entry: EntryProcess): OperatorServiceClient => createOperatorClient({
	baseUrl: entry.operationsUrl, token: operatorToken, timeoutMilliseconds: operatorTimeoutMilliseconds,
});

const submit: Fleet['submit'] = async (document, {at, reviewedVersion}) => {
	const response = await createFleetOperatorClient(at).submitDocument({
		documentJson: JSON.stringify(document), reviewedVersion: BigInt(reviewedVersion), changeId: randomUUID(), author: 'launcher',
	});
	if (response.verdict !== operatorMessages.SubmitVerdict.ACCEPTED) {
		const faults = response.faults.map(({path, message}) => `${path}: ${message}`).join('; ');
		throw new Error(`document was not accepted: ${operatorMessages.SubmitVerdict[response.verdict]} ${response.message} ${faults}`);
	}

	return Number(response.version);
};

/** Starts all processes and waits until all entry instances have the document and are ready. */
export const startFleet = async (launcher: Launcher, plan: FleetPlan): Promise<Fleet> => {
	const {listLagMilliseconds, overrides} = plan;
	const platform = await launcher.startPlatform({listLagMilliseconds});
	const upstreams = await startUpstreams(launcher, plan);
	await Promise.all(upstreams.map(async ({record}) => platform.control.setInstance(record)));
	const members = await allocateEndpoints(launcher, plan);
	const links = await createZoneLinks({members, host: launcher.host});
	launcher.onShutdown(links.close);

	const startEntry = async (endpoints: EntryEndpoints): Promise<EntryProcess> => {
		const entry = await launcher.startEntry({
			endpoints, members: links.listMembersSeenFrom(endpoints.zone), platformUrl: platform.url, overrides,
		});
		await platform.control.setInstance(entry.record);
		return entry;
	};

	const entries = await Promise.all(members.map(async endpoints => startEntry(endpoints)));
	const [first] = entries;
	if (first !== undefined) {
		await (plan.submitFirst?.(first) ?? submit(plan.document, {at: first, reviewedVersion: 0}));
		await launcher.waitUntilReady(entries);
	}

	return {
		platform,
		upstreams,
		entries,
		createOperatorClient: createFleetOperatorClient,
		submit,
		restartEntry: async ({endpoints}) => startEntry(endpoints),
		async setZoneIsolated(zone, isIsolated) {
			links.setZoneIsolated(zone, isIsolated);
			await platform.control.setFaults({scope: {zone}, faults: {cut: isIsolated}});
		},
		markLeaving: async ({record}) => platform.control.setInstance({...record, state: InstanceState.Leaving}),
	};
};
