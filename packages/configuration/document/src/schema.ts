/**
 * Zod schema of the configuration document. It validates documents, and the
 * JSON Schema and the tables of docs/document.md are generated from it.
 */
import {z} from 'zod';

/** Version of the document format; unrelated to the version of a document in its envelope. */
export const documentSchemaVersion = 1;

const name = z.string().regex(/^[a-z][\da-z\-]{0,62}$/v, 'expected a lower-case name of letters, digits and hyphens');
const nonNegativeInteger = z.int().min(0);
const positiveInteger = z.int().min(1);

export enum PoolKind {
	Upstream = 'upstream',
	Worker = 'worker',
}

export enum QueueAccess {
	/** Only teams, with a team key: those listed in `teams`, or all if the list is empty. */
	Team = 'team',
	/** All callers, without a key; no team limit applies. */
	Open = 'open',
}

export enum Repeatability {
	/** Safe and idempotent HTTP methods (RFC 9110) may be repeated. */
	ByMethod = 'by-method',
	/** Requests with any method may be repeated. */
	Always = 'always',
	Never = 'never',
}

/**
 * What to do with requests that carry a team key while this instance cannot
 * confirm that its document is the newest, so that a withdrawn key might still
 * be accepted.
 */
export enum UnconfirmedAction {
	Refuse = 'refuse',
	Serve = 'serve',
}

const poolSchema = z.strictObject({
	kind: z.enum(PoolKind).describe('What the instances do: serve requests (upstream) or run tasks of jobs (worker).'),
	slotsPerInstance: positiveInteger.default(8).describe('Number of requests that one upstream runs concurrently.'),
	connectionsPerInstance: positiveInteger.default(64).describe('Number of connections that one upstream accepts.'),
	maximumUnavailable: nonNegativeInteger.default(1).describe('Instances of the pool that may be out of service at a time, planned or not.'),
	spare: z.boolean().default(false).describe('Whether instances of this pool are moved to pools that lack capacity.'),
	minimumInstances: nonNegativeInteger.default(0).describe('Number of instances below which moves never reduce the pool.'),
	notRunStatuses: z.array(z.int().min(400).max(599)).default([]).describe('HTTP statuses with which an upstream declares that it did not run the request.'),
});

const keySchema = z.strictObject({
	id: z.string().regex(/^[\da-z]{8,32}$/v, 'expected 8 to 32 lower-case letters and digits').describe('Public part of the key; each id occurs only once in the document.'),
	salt: z.string().regex(/^[\da-f]{32}$/v, 'expected 16 bytes in hexadecimal').describe('16 random bytes in hexadecimal.'),
	hash: z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 hash in hexadecimal').describe('SHA-256 hash of salt and secret in hexadecimal.'),
});

const teamSchema = z.strictObject({
	share: z.number().positive().describe('Weight of the team when demand exceeds capacity.'),
	limit: nonNegativeInteger.describe('Upper limit of running requests and jobs across the whole fleet.'),
	keys: z.array(keySchema).default([]).describe('Keys that the team may present; all of them are valid, so that a key can be replaced without interruption.'),
});

const whenUnconfirmedSchema = z.discriminatedUnion('action', [
	z.strictObject({action: z.literal(UnconfirmedAction.Refuse)}),
	z.strictObject({
		action: z.literal(UnconfirmedAction.Serve),
		seconds: positiveInteger.max(86_400).describe('How long, in seconds, requests with a team key are still served once the document has been unconfirmed for 5 s.'),
	}),
]);

const queueSchema = z.strictObject({
	pool: name.describe('Pool whose upstreams run the requests.'),
	access: z.enum(QueueAccess).default(QueueAccess.Team).describe('Whether a team key is needed; open queues have no team limit.'),
	teams: z.array(name).default([]).describe('Teams that may use the queue; empty means all teams.'),
	repeatability: z.enum(Repeatability).default(Repeatability.ByMethod).describe('Which requests may be sent again after a failure; with `never`, every request needs an idempotency key.'),
	timeoutMilliseconds: positiveInteger.max(600_000).default(10_000).describe('Time from arrival to response if the caller specifies none.'),
	maximumRunMilliseconds: positiveInteger.max(3_600_000).default(30_000).describe('Longest time that an upstream can keep running a request, even after its connection has broken.'),
	maximumQueued: positiveInteger.default(200).describe('Requests that one entry instance queues.'),
	urgent: z.boolean().default(false).describe('Whether its requests take precedence over those of the other queues of the pool.'),
	whenUnconfirmed: whenUnconfirmedSchema.default({action: UnconfirmedAction.Refuse}).describe('What happens to requests with a team key once the document has not been confirmed for 5 s.'),
});

const maintenanceSchema = z.strictObject({
	periodDays: positiveInteger.default(21).describe('Number of days in which every instance is maintained once.'),
	enabled: z.boolean().default(false).describe('Whether maintenance waves run.'),
	maximumUnavailablePerRack: positiveInteger.default(1).describe('Instances of one rack that may be out of service at a time, planned or not.'),
	maximumUnavailablePerZone: positiveInteger.default(4).describe('Instances of one availability zone that may be out of service at a time, planned or not.'),
});

const policySchema = z.strictObject({
	weights: z.strictObject({
		bufferCost: z.number().min(0).default(1).describe('Weight of the cost of idle capacity.'),
		rollOutTime: z.number().min(0).default(1).describe('Weight of the time that a maintenance wave takes.'),
		moves: z.number().min(0).default(1).describe('Weight of the number of moves between pools.'),
		shareNearness: z.number().min(0).default(1).describe('Weight of how closely each team receives its share.'),
	}).describe('Relative weights of the four objectives: cost of idle capacity, time of maintenance waves, number of moves, and deviation from the shares.'),
});

export const documentSchema = z.strictObject({
	schemaVersion: z.literal(documentSchemaVersion).describe('Version of the document format.'),
	pools: z.record(name, poolSchema).describe('Pools by name.'),
	teams: z.record(name, teamSchema).describe('Teams by name.'),
	queues: z.record(name, queueSchema).describe('Queues by name.'),
	maintenance: maintenanceSchema.prefault({}).describe('Maintenance waves.'),
	policy: policySchema.prefault({weights: {}}).describe('Objectives of the fleet policy.'),
});

/** A validated document with all defaults filled in. */
export type ConfigurationDocument = z.infer<typeof documentSchema>;
export type PoolDeclaration = ConfigurationDocument['pools'][string];
export type TeamDeclaration = ConfigurationDocument['teams'][string];
export type QueueDeclaration = ConfigurationDocument['queues'][string];
export type KeyDeclaration = TeamDeclaration['keys'][number];

/** A document as the platform stores it. Versions start at 1 and have no gaps. */
export const envelopeSchema = z.strictObject({
	version: positiveInteger,
	changeId: z.string().min(1).max(64),
	author: z.string().max(200),
	submittedAt: z.iso.datetime(),
	/** Set if this version restores the content of an earlier one. */
	restoredVersion: positiveInteger.optional(),
	document: documentSchema,
});

export type DocumentEnvelope = z.infer<typeof envelopeSchema>;
