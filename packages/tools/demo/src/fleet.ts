/** A small fleet in one call: platform, upstreams, entry instances and the first document. */
import {randomUUID} from 'node:crypto';
import type {OperatorServiceClient} from '@turmericbay/peer-protocol';
import {createOperatorClient, operatorMessages} from '@turmericbay/peer-protocol';
import type {AvailabilityZone, PoolName} from '@turmericbay/types';
import {InstanceState} from '@turmericbay/types';
import type {EntryPlace, SettingOverrides} from './entry-settings.js';
import {operatorToken} from './entry-settings.js';
import type {
	EntryProcess, Launcher, PlatformProcess, UpstreamProcess,
} from './launcher.js';
import {createZoneLinks} from './zone-links.js';

export type FleetPlan = {
	readonly zones: readonly AvailabilityZone[];
	readonly entriesPerZone: number;
	/** Upstreams of each pool in each zone. */
	readonly upstreamsPerZone: Readonly<Record<PoolName, number>>;
	readonly runMilliseconds?: number;
	readonly listLagMilliseconds?: number;
	/** The configuration document as it would be submitted. */
	readonly document: unknown;
	/** Submits the first document; by default through the operator service. */
	readonly submitFirst?: (entry: EntryProcess) => Promise<void>;
	readonly overrides?: SettingOverrides;
};

export type Fleet = {
	readonly platform: PlatformProcess;
	readonly upstreams: readonly UpstreamProcess[];
	readonly entries: readonly EntryProcess[];
	operator(entry: EntryProcess): OperatorServiceClient;
	/** Submits a document at an entry instance; throws unless it is accepted. */
	submit(document: unknown, options: {readonly at: EntryProcess; readonly reviewedVersion: number}): Promise<number>;
	/** Starts the entry instance again with its ports and settings, as a new incarnation. */
	restartEntry(entry: EntryProcess): Promise<EntryProcess>;
	markLeaving(process: UpstreamProcess): Promise<void>;
	/** Cuts a zone's entry instances off from the platform and from the entry instances of other zones; `false` restores. */
	setZoneCut(zone: AvailabilityZone, isCut: boolean): Promise<void>;
};

const portsPerEntry = 3;
const operatorTimeoutMilliseconds = 10_000;

const placeEntries = async (launcher: Launcher, plan: FleetPlan): Promise<EntryPlace[]> => {
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

export const createFleetOperator = (entry: EntryProcess): OperatorServiceClient => createOperatorClient({
	baseUrl: entry.operationsUrl, token: operatorToken, timeoutMilliseconds: operatorTimeoutMilliseconds,
});

const submit: Fleet['submit'] = async (document, {at, reviewedVersion}) => {
	const answer = await createFleetOperator(at).submitDocument({
		documentJson: JSON.stringify(document), reviewedVersion: BigInt(reviewedVersion), changeId: randomUUID(), author: 'launcher',
	});
	if (answer.verdict !== operatorMessages.SubmitVerdict.ACCEPTED) {
		const faults = answer.faults.map(({path, message}) => `${path}: ${message}`).join('; ');
		throw new Error(`submit was not accepted: ${operatorMessages.SubmitVerdict[answer.verdict]} ${answer.message} ${faults}`);
	}

	return Number(answer.version);
};

/** Starts everything and waits until all entry instances are ready with the document. */
export const startFleet = async (launcher: Launcher, plan: FleetPlan): Promise<Fleet> => {
	const {listLagMilliseconds, overrides} = plan;
	const platform = await launcher.startPlatform({listLagMilliseconds});
	const upstreams = await startUpstreams(launcher, plan);
	await Promise.all(upstreams.map(async ({record}) => platform.control.setInstance(record)));
	const members = await placeEntries(launcher, plan);
	const links = await createZoneLinks({members, host: launcher.host});
	launcher.onEnd(links.close);

	const startEntry = async (place: EntryPlace): Promise<EntryProcess> => {
		const entry = await launcher.startEntry({
			place, members: links.membersSeenFrom(place.zone), platformUrl: platform.url, overrides,
		});
		await platform.control.setInstance(entry.record);
		return entry;
	};

	const entries = await Promise.all(members.map(async place => startEntry(place)));
	const [first] = entries;
	if (first !== undefined) {
		await (plan.submitFirst?.(first) ?? submit(plan.document, {at: first, reviewedVersion: 0}));
		await launcher.waitUntilReady(entries);
	}

	return {
		platform,
		upstreams,
		entries,
		operator: createFleetOperator,
		submit,
		restartEntry: async ({place}) => startEntry(place),
		async setZoneCut(zone, isCut) {
			links.setZoneCut(zone, isCut);
			await platform.control.setFaults({scope: {zone}, faults: {cut: isCut}});
		},
		markLeaving: async ({record}) => platform.control.setInstance({...record, state: InstanceState.Leaving}),
	};
};
