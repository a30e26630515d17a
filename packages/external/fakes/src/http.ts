/** Helpers for the HTTP servers of the fakes. They listen on loopback by default. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import type {
	IncomingMessage, RequestListener, Server, ServerResponse,
} from 'node:http';
import {createServer} from 'node:http';
import type {Polka} from 'polka';
import type {z} from 'zod';

export const loopbackAddress = '127.0.0.1';

export const readBody = async (request: IncomingMessage): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/** Sends JSON; `GET` requests get an entity tag, and status 304 if the caller's copy is current (RFC 9110). */
export const sendJson = (response: ServerResponse, options: {readonly status?: number; readonly body: unknown}): void => {
	const text = JSON.stringify(options.body);
	const status = options.status ?? 200;
	if (response.req.method === 'GET' && status === 200) {
		const entityTag = `"${createHash('sha256').update(text).digest('base64url')}"`;
		response.setHeader('ETag', entityTag);
		if (response.req.headers['if-none-match'] === entityTag) {
			response.writeHead(304).end();
			return;
		}
	}

	response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
	response.end(text);
};

/** Reads and validates a JSON body; responds with 400 and returns undefined if it does not match the schema. */
export const parseJson = async <Schema extends z.ZodType>(
	request: IncomingMessage,
	response: ServerResponse,
	schema: Schema,
): Promise<z.infer<Schema> | undefined> => {
	try {
		const text = new TextDecoder().decode(await readBody(request));
		const parsed = schema.safeParse(JSON.parse(text === '' ? '{}' : text));
		if (parsed.success) {
			return parsed.data;
		}

		sendJson(response, {status: 400, body: {error: parsed.error.message}});
	} catch (error) {
		// The caller closed the connection while it was sending; no response can be sent.
		if (request.destroyed) {
			return undefined;
		}

		sendJson(response, {status: 400, body: {error: String(error)}});
	}

	return undefined;
};

/** One value of a header; the first if it was sent several times. */
export const readHeader = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- Polka adds the properties that its own request type requires.
export const toListener = (app: Polka): RequestListener => app.handler as RequestListener;

export type ListeningServer = {
	readonly port: number;
	readonly server: Server;
	/** Stops listening and closes all connections. */
	close(): Promise<void>;
};

export const closeServer = async (server: Server): Promise<void> => {
	if (!server.listening) {
		return;
	}

	const closed = once(server, 'close');
	server.close();
	server.closeAllConnections();
	await closed;
};

const readPort = (server: Server): number => {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
};

export const listen = async (options: {readonly listener: RequestListener; readonly port?: number; readonly host?: string}): Promise<ListeningServer> => {
	const server = createServer(options.listener);
	server.listen(options.port ?? 0, options.host ?? loopbackAddress);
	await once(server, 'listening');
	return {port: readPort(server), server, close: async () => closeServer(server)};
};
