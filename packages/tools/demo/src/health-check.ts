/** Health and readiness checks over HTTP, with the rules of the platform's load balancer. */
import {request} from 'undici';

const timeoutMilliseconds = 500;

/** True if the URL responds with status 200 within the timeout. */
export const isHealthy = async (url: string): Promise<boolean> => {
	try {
		const response = await request(url, {signal: AbortSignal.timeout(timeoutMilliseconds)});
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
};
