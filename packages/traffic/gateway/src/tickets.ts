/**
 * `POST /tickets`: an idempotency key that carries its time and whose partition
 * is owned near this entry instance. Callers that cannot make a UUIDv7 use it.
 */
import type {ServerResponse} from 'node:http';

export const ticketsPath = '/tickets';

export const sendTicket = (response: ServerResponse, idempotencyKey: string): void => {
	response.writeHead(201, {'content-type': 'application/json', 'cache-control': 'no-store'});
	response.end(JSON.stringify({idempotencyKey}));
};
