/**
 * `POST /tickets` returns a new idempotency key, for callers that cannot create a
 * UUIDv7. The key contains its creation time and belongs to a partition that is
 * owned near this entry instance.
 */
import type {ServerResponse} from 'node:http';

export const ticketsPath = '/tickets';

export const sendTicket = (response: ServerResponse, idempotencyKey: string): void => {
	response.writeHead(201, {'content-type': 'application/json', 'cache-control': 'no-store'});
	response.end(JSON.stringify({idempotencyKey}));
};
