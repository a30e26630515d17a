/** Selects the headers that the gateway forwards. Source: RFC 9110, section 7.6.1. */
import type {IncomingHttpHeaders} from 'node:http';

const hopByHop = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade',
]);

/** Set by the gateway itself, or meant only for it. The team's key must not reach an upstream. */
const requestHeadersNotForwarded = new Set(['authorization', 'content-length', 'expect', 'host', 'traceparent', 'tracestate', 'x-request-id', 'x-request-timeout-ms']);

export const requestIdHeader = 'x-request-id';
export const timeoutHeader = 'x-request-timeout-ms';

const getConnectionOptions = (headers: IncomingHttpHeaders): ReadonlySet<string> =>
	new Set((headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()));

const selectEndToEndHeaders = (headers: IncomingHttpHeaders, removed: ReadonlySet<string>): Record<string, string | string[]> => {
	const connectionOptions = getConnectionOptions(headers);
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHop.has(name) && !connectionOptions.has(name) && !removed.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
};

export const getForwardedRequestHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> =>
	selectEndToEndHeaders(headers, requestHeadersNotForwarded);

export const getForwardedResponseHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> =>
	selectEndToEndHeaders(headers, new Set([requestIdHeader]));

/** The key in `Authorization: Bearer <key>`; undefined without the header, empty if it is malformed. */
export const getBearerKey = (headers: IncomingHttpHeaders): string | undefined => {
	const {authorization} = headers;
	return authorization === undefined ? undefined : /^bearer +(?<key>\S+) *$/iv.exec(authorization)?.groups?.key ?? '';
};
