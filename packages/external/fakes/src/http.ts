/** Small helpers for the stand-ins' HTTP servers. They listen on loopback only. */
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

/** Answers `GET` with an entity tag, and with 304 if the caller has the same answer (RFC 9110). */
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

/** Reads and checks a JSON body; answers 400 and returns undefined if it does not match. */
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
		// The caller hung up while it sent; there is nobody to answer.
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

/** Polka adds the members that its own request type asks for. */
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- See above.
export const toListener = (app: Polka): RequestListener => app.handler as RequestListener;

export type ListeningServer = {
	readonly port: number;
	readonly server: Server;
	/** Stops listening and breaks all connections. */
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
