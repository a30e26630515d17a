/** Conversions between peer protocol messages and the types of the other packages. */
import {create} from '@bufbuild/protobuf';
import type {PeerAnswer} from '@turmericbay/document-watch';
import type {GatewayStatus} from '@turmericbay/gateway';
import {KnowledgeSchema, ListedInstanceSchema} from '@turmericbay/peer-protocol';
import type {Knowledge, ListedInstance} from '@turmericbay/peer-protocol';
import type {PeerLoad} from '@turmericbay/routing';
import {InstanceRole, InstanceState} from '@turmericbay/types';
import type {AvailabilityZone, InstanceRecord, ProcessIdentity} from '@turmericbay/types';

const toMilliseconds = (value: number | undefined): bigint | undefined =>
	value === undefined ? undefined : BigInt(Math.max(0, Math.ceil(value)));

export const createKnowledge = (options: {
	readonly identity: ProcessIdentity;
	readonly zone: AvailabilityZone;
	readonly document: PeerAnswer;
	readonly gateway: GatewayStatus;
	readonly fleetRevision: number;
	readonly listAgeMilliseconds: number | undefined;
	readonly listDigest: string;
	readonly draining: boolean;
}): Knowledge => create(KnowledgeSchema, {
	...options.identity,
	zone: options.zone,
	documentVersion: BigInt(options.document.documentVersion),
	confirmationAgeMs: toMilliseconds(options.document.confirmationAgeMilliseconds),
	platformReachable: options.document.platformReachable,
	pendingSubmits: options.document.pendingSubmits,
	fleetRevision: BigInt(options.fleetRevision),
	// Idle pools and upstreams are omitted to keep the message small: at most entry instances, most of them are idle.
	pools: options.gateway.pools.filter(({queued, inFlight}) => queued + inFlight > 0),
	upstreams: options.gateway.upstreams.filter(({inFlight}) => inFlight > 0),
	listAgeMs: toMilliseconds(options.listAgeMilliseconds),
	listDigest: options.listDigest,
	draining: options.draining,
});

export const toPeerAnswer = (knowledge: Knowledge): PeerAnswer => ({
	instance: knowledge.instance,
	documentVersion: Number(knowledge.documentVersion),
	confirmationAgeMilliseconds: knowledge.confirmationAgeMs === undefined ? undefined : Number(knowledge.confirmationAgeMs),
	platformReachable: knowledge.platformReachable,
	pendingSubmits: knowledge.pendingSubmits,
});

export const toPeerLoad = (knowledge: Knowledge): PeerLoad => ({
	instance: knowledge.instance,
	zone: knowledge.zone,
	pools: knowledge.pools,
	upstreams: knowledge.upstreams,
});

export const toListedInstance = (record: InstanceRecord): ListedInstance => create(ListedInstanceSchema, record);

const roles = new Map<string, InstanceRole>(Object.values(InstanceRole).map(role => [role, role]));
const states = new Map<string, InstanceState>(Object.values(InstanceState).map(state => [state, state]));

/** Undefined if the role or state is unknown to this version, which happens with a newer peer. */
export const parseListedInstance = (listed: ListedInstance): InstanceRecord | undefined => {
	const role = roles.get(listed.role);
	const state = states.get(listed.state);
	if (role === undefined || state === undefined) {
		return undefined;
	}

	const {instance, incarnation, address, pool, zone, rack} = listed;
	return {
		instance, incarnation, address, pool, zone, rack, role, state,
	};
};
