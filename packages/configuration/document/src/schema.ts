/**
 * Schema of the configuration document. The same definition validates
 * documents and is published as JSON Schema.
 */
import {z} from 'zod';

/** Version of the document format, not of a document. */
export const documentSchemaVersion = 1;

const name = z.string().regex(/^[a-z][\da-z\-]{0,62}$/v, 'expected a lower-case name of letters, digits and hyphens');
const nonNegativeInteger = z.int().min(0);
const positiveInteger = z.int().min(1);

export enum PoolKind {
	Upstream = 'upstream',
	Worker = 'worker',
}

export enum QueueAccess {
	/** Only the listed teams, each with its key. */
	Team = 'team',
	/** Everybody; no key is asked for and no team limit applies. */
	Open = 'open',
}

export enum Repeatability {
	/** Safe and idempotent HTTP methods (RFC 9110) may be repeated. */
	ByMethod = 'by-method',
	Always = 'always',
	Never = 'never',
}

export enum UnconfirmedAction {
	Refuse = 'refuse',
	Serve = 'serve',
}

const poolSchema = z.strictObject({
	kind: z.enum(PoolKind),
	slotsPerInstance: positiveInteger.default(8).describe('Requests that one upstream runs at a time.'),
	connectionsPerInstance: positiveInteger.default(64).describe('Connections that one upstream accepts.'),
	maximumUnavailable: nonNegativeInteger.default(1).describe('Instances of the pool that may be out of service at a time, planned or not.'),
	spare: z.boolean().default(false).describe('Instances of a spare pool move to pools in need.'),
	minimumInstances: nonNegativeInteger.default(0).describe('Moves never take the pool below this size.'),
	notRunStatuses: z.array(z.int().min(400).max(599)).default([]).describe('HTTP statuses with which an upstream declares that it did not run the request.'),
});

const keySchema = z.strictObject({
	id: z.string().regex(/^[\da-z]{8,32}$/v, 'expected 8 to 32 lower-case letters and digits'),
	salt: z.string().regex(/^[\da-f]{32}$/v, 'expected 16 bytes in hexadecimal'),
	hash: z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 hash in hexadecimal'),
});

const teamSchema = z.strictObject({
	share: z.number().positive().describe('Weight of the team when everything is full.'),
	limit: nonNegativeInteger.describe('Upper limit of running requests and jobs across the whole fleet.'),
	keys: z.array(keySchema).default([]),
});

const whenUnconfirmedSchema = z.discriminatedUnion('action', [
	z.strictObject({action: z.literal(UnconfirmedAction.Refuse)}),
	z.strictObject({
		action: z.literal(UnconfirmedAction.Serve),
		seconds: positiveInteger.max(86_400).describe('How long keyed work goes on after the 5 s bound.'),
	}),
]);

const queueSchema = z.strictObject({
	pool: name,
	access: z.enum(QueueAccess).default(QueueAccess.Team),
	teams: z.array(name).default([]).describe('Teams that may use the queue; empty means all teams.'),
	repeatability: z.enum(Repeatability).default(Repeatability.ByMethod),
	timeoutMilliseconds: positiveInteger.max(600_000).default(10_000).describe('Time from arrival to answer if the caller names none.'),
	maximumRunMilliseconds: positiveInteger.max(3_600_000).default(30_000).describe('Longest time that an upstream can go on running a request, also after its connection broke.'),
	maximumQueued: positiveInteger.default(200).describe('Requests that one entry instance queues.'),
	urgent: z.boolean().default(false),
	whenUnconfirmed: whenUnconfirmedSchema.default({action: UnconfirmedAction.Refuse}),
});

const maintenanceSchema = z.strictObject({
	periodDays: positiveInteger.default(21),
	enabled: z.boolean().default(false),
	maximumUnavailablePerRack: positiveInteger.default(1),
	maximumUnavailablePerZone: positiveInteger.default(4),
});

const policySchema = z.strictObject({
	weights: z.strictObject({
		bufferCost: z.number().min(0).default(1),
		rollOutTime: z.number().min(0).default(1),
		moves: z.number().min(0).default(1),
		shareNearness: z.number().min(0).default(1),
	}),
});

export const documentSchema = z.strictObject({
	schemaVersion: z.literal(documentSchemaVersion),
	pools: z.record(name, poolSchema),
	teams: z.record(name, teamSchema),
	queues: z.record(name, queueSchema),
	maintenance: maintenanceSchema.prefault({}),
	policy: policySchema.prefault({weights: {}}),
});

/** A checked document with all defaults filled in. */
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
