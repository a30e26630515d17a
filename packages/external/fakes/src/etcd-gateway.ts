/* eslint-disable @typescript-eslint/naming-convention -- Field names are those of the etcd gateway. */
/**
 * The subset of the etcd v3 JSON gateway that turmericbay uses, over a
 * key-value engine. As in etcd, keys and values are base64, 64-bit integers are
 * strings, and fields with their default value are left out
 * (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/).
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {
	EngineEntry, EngineError, EngineEvent, EngineOperation, KeyValueEngine, KeyRange,
} from './key-value-engine.js';
import {GrpcStatus, noLease} from './key-value-engine.js';

export type GatewayResponse = {readonly status: number; readonly body: unknown};

export type GatewayRoute = {
	readonly isWrite: boolean;
	handle(engine: KeyValueEngine, body: unknown): GatewayResponse;
};

const bytes = z.base64().transform(text => Buffer.from(text, 'base64').toString('latin1'));
const int64 = z.union([z.string().regex(/^-?\d+$/v), z.int()]).transform(Number);
const leaseIdentifier = z.union([z.string().regex(/^\d+$/v), z.int().transform(String)]);

const rangeFields = {key: bytes, range_end: bytes.default('')};
const rangeRequest = z.object({...rangeFields, limit: int64.default(0)});
const putRequest = z.object({key: bytes, value: bytes.default(''), lease: leaseIdentifier.default(noLease)});
const operationRequest = z.union([
	z.object({request_put: putRequest}),
	z.object({request_delete_range: z.object(rangeFields)}),
]);
const compareRequest = z.object({
	key: bytes,
	target: z.literal('MOD'),
	result: z.literal('EQUAL').default('EQUAL'),
	mod_revision: int64.default(0),
});
const transactionRequest = z.object({
	compare: z.array(compareRequest).default([]),
	success: z.array(operationRequest).default([]),
	failure: z.array(operationRequest).default([]),
});
const leaseRequest = z.object({ID: leaseIdentifier});
const grantRequest = z.object({TTL: int64});
const watchRequest = z.object({create_request: z.object(rangeFields)});

const httpStatuses: Readonly<Record<GrpcStatus, number>> = {
	[GrpcStatus.InvalidArgument]: 400,
	[GrpcStatus.NotFound]: 404,
};

const encodeBase64 = (text: string): string => Buffer.from(text, 'latin1').toString('base64');

const toRange = (request: {readonly key: string; readonly range_end: string}): KeyRange => ({key: request.key, rangeEnd: request.range_end});

const toHeader = (engine: KeyValueEngine): {readonly cluster_id: string; readonly member_id: string; readonly revision: string; readonly raft_term: string} =>
	({
		cluster_id: '1', member_id: '1', revision: String(engine.revision()), raft_term: '1',
	});

const toKeyValue = (entry: EngineEntry): Readonly<Record<string, string>> => ({
	key: encodeBase64(entry.key),
	...(entry.createRevision > 0 && {create_revision: String(entry.createRevision), version: String(entry.version)}),
	mod_revision: String(entry.modifiedRevision),
	...(entry.value !== '' && {value: encodeBase64(entry.value)}),
	...(entry.leaseId !== noLease && {lease: entry.leaseId}),
});

const fail = (error: EngineError): GatewayResponse => ({
	status: httpStatuses[error.status],
	body: {error: error.message, code: error.status, message: error.message},
});

const leaseNotFound = fail({status: GrpcStatus.NotFound, message: 'etcdserver: requested lease not found'});

const createRoute = <Schema extends z.ZodType>(
	schema: Schema,
	isWrite: boolean,
	handle: (engine: KeyValueEngine, request: z.infer<Schema>) => GatewayResponse,
): GatewayRoute => ({
	isWrite,
	handle(engine, body) {
		const parsed = schema.safeParse(body);
		return parsed.success
			? handle(engine, parsed.data)
			: fail({status: GrpcStatus.InvalidArgument, message: z.prettifyError(parsed.error)});
	},
});

const toOperation = (request: z.infer<typeof operationRequest>): EngineOperation => 'request_put' in request
	? {
		type: 'put', key: request.request_put.key, value: request.request_put.value, leaseId: request.request_put.lease,
	}
	: {type: 'delete-range', range: toRange(request.request_delete_range)};

const rangeRoute = createRoute(rangeRequest, false, (engine, request) => {
	const {entries, count, more} = engine.range({range: toRange(request), limit: request.limit});
	return {
		status: 200,
		body: {
			header: toHeader(engine),
			...(entries.length > 0 && {kvs: entries.map(entry => toKeyValue(entry))}),
			...(more && {more}),
			...(count > 0 && {count: String(count)}),
		},
	};
});

const transactionRoute = createRoute(transactionRequest, true, (engine, request) => {
	const outcome = engine.transact({
		compares: request.compare.map(compare => ({key: compare.key, modifiedRevision: compare.mod_revision})),
		success: request.success.map(operation => toOperation(operation)),
		failure: request.failure.map(operation => toOperation(operation)),
	});
	return outcome.match(
		({succeeded}) => ({status: 200, body: {header: toHeader(engine), ...(succeeded && {succeeded})}}),
		fail,
	);
});

const grantRoute = createRoute(grantRequest, true, (engine, request) => ({
	status: 200,
	body: {header: toHeader(engine), ID: engine.grantLease({timeToLiveSeconds: request.TTL}), TTL: String(request.TTL)},
}));

const keepAliveRoute = createRoute(leaseRequest, true, (engine, request) => {
	const timeToLive = engine.renewLease({leaseId: request.ID});
	return {
		status: 200,
		body: {result: {header: toHeader(engine), ID: request.ID, ...(timeToLive > 0 && {TTL: String(timeToLive)})}},
	};
});

const revokeRoute = createRoute(leaseRequest, true, (engine, request) =>
	engine.revokeLease({leaseId: request.ID}) ? {status: 200, body: {header: toHeader(engine)}} : leaseNotFound);

/** Routes with a single response (all but the watch), by path. */
export const gatewayRoutes: ReadonlyMap<string, GatewayRoute> = new Map([
	['/v3/kv/range', rangeRoute],
	['/v3/kv/txn', transactionRoute],
	['/v3/lease/grant', grantRoute],
	['/v3/lease/keepalive', keepAliveRoute],
	['/v3/lease/revoke', revokeRoute],
]);

export const watchPath = '/v3/watch';

const toEvent = (event: EngineEvent): unknown => ({...(event.type === 'delete' && {type: 'DELETE'}), kv: toKeyValue(event.entry)});

/** Starts a watch that passes its messages to `send`, and returns a function that stops it; undefined if the request is malformed. */
export const startWatch = (options: {
	readonly engine: KeyValueEngine;
	readonly body: unknown;
	readonly send: (message: unknown) => void;
}): (() => void) | undefined => {
	const {engine, send} = options;
	const parsed = watchRequest.safeParse(options.body);
	if (!parsed.success) {
		return undefined;
	}

	send({result: {header: toHeader(engine), created: true}});
	return engine.watch({
		range: toRange(parsed.data.create_request),
		listener(events) {
			send({result: {header: toHeader(engine), events: events.map(event => toEvent(event))}});
		},
	});
};
