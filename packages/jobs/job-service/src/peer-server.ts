/** HTTP server for the requests of other instances to the owner, and for metrics. */
import {Buffer} from 'node:buffer';
import type {Server, ServerResponse} from 'node:http';
import polka from 'polka';
import {z} from 'zod';
import {parseJson} from '@turmericbay/http-client';
import type {BodyResult, HttpLimit, HttpServerLimits} from '@turmericbay/http-server';
import {createHttpServer} from '@turmericbay/http-server';
import type {AcceptDispatchChannel} from './dispatch-channel.js';
import {serveHttpDispatchChannel} from './dispatch-channel.js';
import type {TimedFigures} from './owner-load-figures.js';
import type {Owner} from './owner.js';
import {jobPrefix, parseJob} from './records.js';

const okStatus = 200;
const notFoundStatus = 404;
const badRequestStatus = 400;
/** This instance is not the owner; the requesting instance reads the store instead. */
const misdirectedStatus = 421;
const unavailableStatus = 503;
/** Has to exceed the body limit of the caller server. A larger declaration is rejected, and the owner finds the job in the store. */
const maximumBodyBytes = 1_048_576;

const registrationSchema = z.object({
	name: z.string(), address: z.string(), zone: z.string(), cores: z.number().positive(), startedAt: z.number(),
});

const respond = (response: ServerResponse, status: number, body: unknown): void => {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
};

/** Returns the load figures if the request asks for them. */
const getFigures = (query: Readonly<Record<string, unknown>>, owner: NonNullable<Owner>): TimedFigures | undefined =>
	query.figures === undefined ? undefined : owner.getLoadFigures();

/** Returns undefined if the text is not a valid encoding. */
const decodePathPart = (text: string): string | undefined => {
	try {
		return decodeURIComponent(text);
	} catch {
		return undefined;
	}
};

export const createPeerServer = (options: {
	readonly host: string;
	readonly port: number;
	readonly getLocalOwner: () => NonNullable<Owner> | undefined;
	/** Called when a larger instance asks for the ownership. */
	readonly onTransferRequested: (epoch: number) => void;
	/** Called when an owner offers worker calls. */
	readonly acceptDispatchChannel: AcceptDispatchChannel;
	readonly renderMetrics: () => string;
	readonly limits: HttpServerLimits;
	/** Called each time a limit closes a connection or refuses a request. */
	readonly onLimit: (limit: HttpLimit) => void;
}): Server => {
	const {host, port, getLocalOwner, onTransferRequested, acceptDispatchChannel, renderMetrics, limits, onLimit} = options;
	const withOwner = (response: ServerResponse, handle: (owner: NonNullable<Owner>) => void): void => {
		const owner = getLocalOwner();
		if (owner) {
			handle(owner);
		} else {
			respond(response, misdirectedStatus, {});
		}
	};

	const router = polka()
		.get('/jobs/:id', (request, response) => {
			withOwner(response, owner => {
				const state = owner.getJobState(String(request.params.id));
				respond(response, state === undefined ? notFoundStatus : okStatus, {state, ...getFigures(request.query, owner)});
			});
		})
		.get('/queues/:queue/pending', (request, response) => {
			const queue = decodePathPart(String(request.params.queue));
			withOwner(response, owner => {
				if (queue === undefined) {
					respond(response, badRequestStatus, {});
				} else {
					respond(response, okStatus, {pending: owner.countPending(queue)});
				}
			});
		})
		.post('/jobs', async (request, response) => {
			let body: BodyResult;
			try {
				body = await readBody(request, maximumBodyBytes);
			} catch {
				// The other instance closed the connection; the owner finds the job in the store.
				response.destroy();
				return;
			}

			if (body.type === 'refused') {
				// The owner finds the job in the store.
				respond(response, unavailableStatus, {});
				return;
			}

			withOwner(response, owner => {
				const declaration = body.type === 'too-large' ? undefined : parseJob({key: jobPrefix, value: body.text, modifiedRevision: 0});
				if (declaration?.steps === undefined) {
					// The owner finds the job in the store.
					respond(response, badRequestStatus, {});
					return;
				}

				owner.addJob(declaration, Number(request.query.revision));
				respond(response, okStatus, {...getFigures(request.query, owner)});
			});
		})
		.post('/cancellations/:id', (request, response) => {
			withOwner(response, owner => {
				owner.cancel(String(request.params.id));
				respond(response, okStatus, {});
			});
		})
		.post('/dispatchers', async (request, response) => {
			let body: BodyResult;
			try {
				body = await readBody(request, maximumBodyBytes);
			} catch {
				// The other instance closed the connection and registers again.
				response.destroy();
				return;
			}

			if (body.type === 'refused') {
				// The other instance registers again.
				respond(response, unavailableStatus, {});
				return;
			}

			withOwner(response, owner => {
				const registration = registrationSchema.safeParse(body.type === 'too-large' ? undefined : parseJson(body.text));
				if (registration.success) {
					owner.registerDispatcher(registration.data);
				}

				respond(response, registration.success ? okStatus : badRequestStatus, {});
			});
		})
		.post('/worker-calls', (request, response) => {
			serveHttpDispatchChannel({
				request, response, epoch: Number(request.query.epoch), refusedStatus: misdirectedStatus,
				accept(epoch, channel) {
					const handlers = acceptDispatchChannel(epoch, channel);
					if (handlers) {
						// Lasts as long as the ownership.
						keepOpen(request);
					}

					return handlers;
				},
			});
		})
		.post('/transfers/:epoch', (request, response) => {
			onTransferRequested(Number(request.params.epoch));
			respond(response, okStatus, {});
		})
		.get('/metrics', (request, response) => {
			const text = renderMetrics();
			if (!reserveBytes(request, text.length)) {
				respond(response, unavailableStatus, {});
				return;
			}

			response.writeHead(okStatus, {'content-type': 'text/plain; version=0.0.4'});
			response.end(text);
		});
	const {server, readBody, reserveBytes, keepOpen} = createHttpServer({
		limits, onLimit,
		handle: router.handler,
		refuse(_, response) {
			respond(response, unavailableStatus, {});
		},
	});
	server.listen(port, host);
	return server;
};
